import { type Readable } from 'node:stream';

import { type Route, type Tenant } from '../catalog';

/** A caller's request, ready to be forwarded; times are monotonic milliseconds. */
export interface IncomingCall {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers as alternating names and values. */
  readonly headers: readonly string[];
  /** Null when there is none; a stream when it is too long to be buffered for a retry. */
  readonly body: Buffer | Readable | null;
  readonly route: Route;
  /** Null on public routes, and where the configuration has no tenants. */
  readonly tenant: Tenant | null;
  /** Service chosen by the weights of the route. */
  readonly service: string;
  readonly arrivedAt: number;
  /** Latest time at which the caller gets a final answer. */
  readonly deadline: number;
  /** Time at which the caller stops waiting. */
  readonly callerDeadline: number;
}
