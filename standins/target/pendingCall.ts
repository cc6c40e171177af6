import { type IncomingMessage, type ServerResponse } from 'node:http';

import { type RunRecord } from './runRecord';

/** A call that a target stand-in has accepted. */
export interface PendingCall {
  readonly run: RunRecord;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Size of the request body received so far. */
  bytes: number;
  /** Multiplies the service time; above 1 when the call exceeded the cold limit. */
  readonly serviceTimeFactor: number;
}
