import { LARGEST_KEPT_ANSWER_BYTES, UNKNOWN_ANSWER } from '../idempotency';
import { type RecordedAnswer } from '../peer';

import { type Answer } from './transmission';

function contentTypeOf(answer: Answer): string {
  const type = answer.headers['content-type'];
  return typeof type === 'string' ? type : '';
}

/** Passes an answer on and tells what to keep of it once it has ended. */
export function recordAnswer(answer: Answer, ended: (kept: RecordedAnswer) => void): Answer {
  let chunks: Buffer[] | null = [];
  let size = 0;
  let told = false;
  const tell = (kept: RecordedAnswer) => {
    if (!told) ended(kept);
    told = true;
  };
  const keep = (): RecordedAnswer => ({
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
      tell(UNKNOWN_ANSWER);
    },
    streamTo: (sink) =>
      answer.streamTo({
        data: (chunk, drained) => {
          size += chunk.length;
          if (size > LARGEST_KEPT_ANSWER_BYTES) chunks = null;
          else chunks?.push(Buffer.from(chunk));
          return sink.data(chunk, drained);
        },
        end: (end) => {
          tell(end === 'whole' ? keep() : UNKNOWN_ANSWER);
          sink.end(end);
        },
      }),
  };
}

/** The answer of an earlier call with the same key. */
export function replayedAnswer(kept: RecordedAnswer): Answer {
  const headers: Record<string, string> = { 'content-length': String(kept.body.length) };
  if (kept.contentType !== '') headers['content-type'] = kept.contentType;
  return {
    status: kept.status,
    headers,
    target: '',
    cancel: () => {},
    streamTo: (sink) => {
      if (kept.body.length > 0) sink.data(kept.body, () => {});
      sink.end('whole');
    },
  };
}
