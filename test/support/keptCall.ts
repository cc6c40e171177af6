import { type ReceivedAnswer } from './answerReader';

/** A call that a caller sent, and what became of it; times are monotonic, in milliseconds. */
export interface KeptCall {
  readonly id: string;
  /** Index of the host. */
  readonly host: number;
  readonly service: string;
  readonly isIdempotent: boolean;
  /** Key in its `Authorization` header; null without one. */
  readonly key: string | null;
  readonly sentAt: number;
  /** Whether a call before it on its connection had no answer when it was sent. */
  readonly isBehindAnother: boolean;
  /** The answer at its place on the connection; null without one. */
  answer: ReceivedAnswer | null;
  answeredAt: number | null;
  /** Whether its connection was established. */
  wasConnected: boolean;
  /** End of its connection; null while it is open. */
  closedAt: number | null;
}
