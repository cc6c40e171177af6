import { type IncomingMessage, type ServerResponse } from 'node:http';

import { type RunRecord } from './runRecord';

/** An accepted call at a target stand-in. */
export interface PendingCall {
  readonly run: RunRecord;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Size of the request body received so far. */
  bytes: number;
  /** Multiplies the service time; above 1 when the call broke the cold limit. */
  readonly factor: number;
}
