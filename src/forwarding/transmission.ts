import { type IncomingHttpHeaders } from 'node:http';

import { type Result } from 'ts-results';

import { type NotRun } from '../outcomes';

import { type CallBody } from './callBody';
import { type HeaderMap } from './headers';

/** One request to a target or to another host. */
export interface Transmission {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: CallBody;
  /** Monotonic time by which the answer must be complete. */
  readonly deadline: number;
  readonly signal: AbortSignal;
  /** Checked on the connection at the moment before the first byte is written. */
  readonly mayLeave: () => Result<void, NotRun>;
}

/** Why no answer head arrived. */
export type TransmissionFailure =
  | { readonly kind: 'not-sent'; readonly refusal: NotRun | null; readonly detail: string }
  | { readonly kind: 'lost'; readonly detail: string }
  | { readonly kind: 'deadline'; readonly detail: string }
  | { readonly kind: 'cancelled'; readonly detail: string };

/** How the body of an answer ended. */
export type BodyEnd = 'whole' | 'truncated';

/** Takes the body of an answer. */
export interface BodySink {
  /** Returns false when the sink is full and calls `drained` when it takes more. */
  data(chunk: Buffer, drained: () => void): boolean;
  end(end: BodyEnd): void;
}

/** An answer whose head arrived. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Lets the body flow; called at most once. */
  streamTo(sink: BodySink): void;
  /** Ends the request at the other side by closing its connection. */
  cancel(): void;
}
