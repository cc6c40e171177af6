import { MAX_STORED_ANSWER_BYTES, UNKNOWN_ANSWER } from '../idempotency';
import { type RecordedAnswer } from '../peer';

import { type Answer } from './transmission';

function contentTypeOf(answer: Answer): string {
  const type = answer.headers['content-type'];
  return typeof type === 'string' ? type : '';
}

/**
 * Wraps an answer to record it while it is streamed. `onEnd` is called once, with the recorded
 * answer, or with an unknown answer when it was cancelled or incomplete.
 */
export function recordAnswer(answer: Answer, onEnd: (recorded: RecordedAnswer) => void): Answer {
  // Null once the body exceeds LARGEST_KEPT_ANSWER_BYTES: then only status and content type are
  // recorded.
  let chunks: Buffer[] | null = [];
  let sizeBytes = 0;
  let isReported = false;
  const reportOnce = (recorded: RecordedAnswer) => {
    if (!isReported) onEnd(recorded);
    isReported = true;
  };
  const recordedAnswer = (): RecordedAnswer => ({
    status: answer.status,
    contentType: contentTypeOf(answer),
    body: chunks === null ? UNKNOWN_ANSWER.body : Buffer.concat(chunks),
    whole: chunks !== null,
  });
  return {
    status: answer.status,
    headers: answer.headers,
    target: answer.target,
    cancel: () => {
      answer.cancel();
      reportOnce(UNKNOWN_ANSWER);
    },
    streamTo: (sink) =>
      answer.streamTo({
        data: (chunk, drained) => {
          sizeBytes += chunk.length;
          if (sizeBytes > MAX_STORED_ANSWER_BYTES) chunks = null;
          else chunks?.push(Buffer.from(chunk));
          return sink.data(chunk, drained);
        },
        end: (end) => {
          reportOnce(end === 'whole' ? recordedAnswer() : UNKNOWN_ANSWER);
          sink.end(end);
        },
      }),
  };
}

/** Builds an answer from the recorded answer of an earlier call with the same idempotency key. */
export function replayedAnswer(recorded: RecordedAnswer): Answer {
  const headers: Record<string, string> = { 'content-length': String(recorded.body.length) };
  if (recorded.contentType !== '') headers['content-type'] = recorded.contentType;
  return {
    status: recorded.status,
    headers,
    target: '',
    cancel: () => {},
    streamTo: (sink) => {
      if (recorded.body.length > 0) sink.data(recorded.body, () => {});
      sink.end('whole');
    },
  };
}
