import { type Writable } from 'node:stream';

/** The remaining body of a long answer, which is streamed. */
export interface AnswerRest {
  /** Streams the rest to `output`; resolves to false when the answer was truncated. */
  pipeTo(output: Writable): Promise<boolean>;
  /** Closes the connection to the target; for an answer that nobody waits for. */
  cancel(): void;
}
