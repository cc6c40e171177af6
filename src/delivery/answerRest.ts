import { type Writable } from 'node:stream';

/** The part of a long answer that has not arrived yet. */
export interface AnswerRest {
  /** Passes the rest on; resolves to false when the answer broke off. */
  pipeTo(output: Writable): Promise<boolean>;
}
