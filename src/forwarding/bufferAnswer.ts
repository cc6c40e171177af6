import { type Answer, type BodyEnd, type BodySink } from './transmission';

// Error responses are short; a longer one is cancelled and counts as incomplete.
const MAX_BUFFERED_ANSWER_BYTES = 64 * 1024;

/** Buffers an answer in memory, which frees its target's slot while another attempt runs. */
export function bufferAnswer(answer: Answer): Answer {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  let ended: BodyEnd | null = null;
  let sink: BodySink | null = null;
  answer.streamTo({
    data: (chunk, drained) => {
      if (sink !== null) return sink.data(chunk, drained);
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_BUFFERED_ANSWER_BYTES) answer.cancel();
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
    streamTo: (nextSink) => {
      sink = nextSink;
      for (const chunk of chunks) nextSink.data(chunk, () => {});
      if (ended !== null) nextSink.end(ended);
    },
    cancel: () => answer.cancel(),
  };
}
