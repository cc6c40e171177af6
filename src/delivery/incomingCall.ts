import { type Readable } from 'node:stream';

import { type Route } from '../catalog';

/** A caller's request as it is forwarded; times are monotonic milliseconds. */
export interface IncomingCall {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers, names and values by turns. */
  readonly headers: readonly string[];
  /** Null when there is none; a stream when it is too long to be kept for a repeat. */
  readonly body: Buffer | Readable | null;
  readonly route: Route;
  /** Service chosen by the weights of the route. */
  readonly service: string;
  readonly arrivedAt: number;
  /** Time at which the caller gets a final answer in any case. */
  readonly deadline: number;
  /** Time at which the caller stops waiting. */
  readonly callerDeadline: number;
}
