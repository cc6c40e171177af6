import { type Answer, type BodyEnd, type BodySink } from './transmission';

// Error answers are short; a longer one is cut off and counts as incomplete.
const LARGEST_KEPT_BYTES = 64 * 1024;

/** Reads an answer into memory, so that its target is free while another attempt runs. */
export function bufferAnswer(answer: Answer): Answer {
  const chunks: Buffer[] = [];
  let size = 0;
  let ended: BodyEnd | null = null;
  let sink: BodySink | null = null;
  answer.streamTo({
    data: (chunk, drained) => {
      if (sink !== null) return sink.data(chunk, drained);
      size += chunk.length;
      if (size > LARGEST_KEPT_BYTES) answer.cancel();
      else chunks.push(chunk);
      return true;
    },
    end: (end) => {
      ended = end;
      sink?.end(end);
    },
  });
  return {
    status: answer.status,
    headers: answer.headers,
    target: answer.target,
    streamTo: (taker) => {
      sink = taker;
      for (const chunk of chunks) taker.data(chunk, () => {});
      if (ended !== null) taker.end(ended);
    },
    cancel: () => answer.cancel(),
  };
}
