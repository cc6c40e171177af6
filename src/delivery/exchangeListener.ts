import { type IncomingHttpHeaders } from 'node:http';

import { type ConnectionError } from './connectionError';

/** Observes a request on a connection; `onEnd` or `onError` is called last, exactly once. */
export interface ExchangeListener {
  /**
   * Asked when the first byte is about to be written to the connection: why the request is withdrawn,
   * null if it is not. A withdrawn request ends with an error, and the connection can be used again.
   */
  withdrawal(): string | null;
  /** The request is about to be written to the connection. */
  onSent(): void;
  /** `isFramed` is false when the answer is delimited only by the close of the connection. */
  onHead(status: number, headers: IncomingHttpHeaders, isFramed: boolean): void;
  /** Returns false to pause the answer until `resume` of the connection is called. */
  onData(chunk: Buffer): boolean;
  onEnd(isFramed: boolean): void;
  onError(error: ConnectionError): void;
}
