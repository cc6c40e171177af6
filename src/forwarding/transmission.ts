import { type IncomingHttpHeaders } from 'node:http';

import { type Result } from 'ts-results';

import { type NotRun } from '../outcomes';

import { type CallBody } from './callBody';
import { type Cancellation } from './cancellation';
import { type HeaderMap } from './headers';

/** A request to a target or to another host. */
export interface Transmission {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: CallBody;
  /** Monotonic time by which the answer must be complete. */
  readonly deadline: number;
  readonly cancellation: Cancellation;
  /** Called on the connection immediately before the first byte is written. */
  readonly checkBeforeSend: () => Result<void, NotRun>;
}

/** Why no response head was received. */
export type TransmissionFailure =
  /** No connection could be established. */
  | { readonly kind: 'connect-failed'; readonly detail: string }
  /** The request was refused before its first byte was sent. */
  | { readonly kind: 'withheld'; readonly refusal: NotRun }
  | { readonly kind: 'lost'; readonly detail: string }
  | { readonly kind: 'deadline'; readonly detail: string }
  | { readonly kind: 'cancelled'; readonly detail: string };

/** How the body of an answer ended; all but `whole` leave the answer incomplete. */
export type BodyEnd = 'whole' | 'lost' | 'deadline' | 'cancelled';

/** Consumes the body of an answer. */
export interface BodySink {
  /** Returns false when the sink is full; `drained` is called when it accepts more data. */
  data(chunk: Buffer, drained: () => void): boolean;
  end(end: BodyEnd): void;
}

/** A response whose head has been received. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Target that sent the response; empty when unknown. */
  readonly target: string;
  /** Streams the body to `sink`; called at most once, and not after `cancel`. */
  streamTo(sink: BodySink): void;
  /** Cancels the request at the target by closing its connection. */
  cancel(): void;
}
