import { type Readable } from 'node:stream';

/** A request as it is sent to a target. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | Readable | null;
}
