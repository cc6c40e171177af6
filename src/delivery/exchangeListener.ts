import { type IncomingHttpHeaders } from 'node:http';

import { type ConnectionError } from './connectionError';

/** Is told how a request on a connection goes; `onEnd` or `onError` comes last, exactly once. */
export interface ExchangeListener {
  /** The first bytes leave now. */
  onSent(): void;
  onHead(status: number, headers: IncomingHttpHeaders): void;
  /** False pauses the answer until `resume` of the connection is called. */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onError(error: ConnectionError): void;
}
