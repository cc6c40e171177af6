import { type IncomingHttpHeaders } from 'node:http';

import { type Result } from 'ts-results';

import { type NotRun } from '../outcomes';

import { type CallBody } from './callBody';
import { type Cancellation } from './cancellation';
import { type HeaderMap } from './headers';

/** One request to a target or to another host. */
export interface Transmission {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: CallBody;
  /** Monotonic time by which the answer must be complete. */
  readonly deadline: number;
  readonly cancellation: Cancellation;
  /** Checked on the connection at the moment before the first byte is written. */
  readonly mayLeave: () => Result<void, NotRun>;
}

/** Why no answer head arrived. */
export type TransmissionFailure =
  /** No connection could be made. */
  | { readonly kind: 'connect-failed'; readonly detail: string }
  /** The request was withheld before its first byte. */
  | { readonly kind: 'withheld'; readonly refusal: NotRun }
  | { readonly kind: 'lost'; readonly detail: string }
  | { readonly kind: 'deadline'; readonly detail: string }
  | { readonly kind: 'cancelled'; readonly detail: string };

/** How the body of an answer ended; all but `whole` leave the answer incomplete. */
export type BodyEnd = 'whole' | 'lost' | 'deadline' | 'cancelled';

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
  /** Target that answers; empty when it is not known. */
  readonly target: string;
  /** Lets the body flow; called at most once, and not after `cancel`. */
  streamTo(sink: BodySink): void;
  /** Ends the request at the other side by closing its connection. */
  cancel(): void;
}
