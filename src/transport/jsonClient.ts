import { type Dispatcher } from 'undici';
import Client from 'undici/lib/dispatcher/client';
import { Err, Ok, type Result } from 'ts-results';

import { type Clock } from '../runtime';

import { type JsonReply } from './jsonReply';
import { type TransportError } from './transportError';

// Addresses in the same region answer within a few milliseconds; this allows for a lost packet.
const CONNECT_TIMEOUT_MS = 500;

/** Sends requests to one address over a persistent connection, closed on timeouts and errors. */
export class JsonClient {
  private client: Client | null = null;

  constructor(
    /** For example http://10.0.0.1:8080. */
    private readonly origin: string,
    private readonly clock: Clock,
  ) {}

  /** Gets `path`; fails unless the reply is complete by the monotonic time `deadline`. */
  get(path: string, deadline: number): Promise<Result<JsonReply, TransportError>> {
    return new Promise((resolve) => {
      const client = this.client ?? this.openConnection();
      const chunks: Buffer[] = [];
      let status = 0;
      let isSettled = false;
      const timer = this.clock.setTimer(deadline, () => {
        isSettled = true;
        resolve(Err({ kind: 'timeout', message: `no reply from ${this.origin} in time` }));
        this.close();
      });
      const settle = (result: Result<JsonReply, TransportError>) => {
        if (isSettled) return;
        isSettled = true;
        timer.cancel();
        resolve(result);
      };
      const handler: Dispatcher.DispatchHandler = {
        onRequestStart() {},
        onResponseStart(controller, statusCode) {
          status = statusCode;
        },
        onResponseData(controller, chunk) {
          chunks.push(chunk);
        },
        onResponseEnd() {
          try {
            const text = Buffer.concat(chunks).toString('utf8');
            settle(Ok({ status, body: text === '' ? undefined : (JSON.parse(text) as unknown) }));
          } catch (error) {
            if (status !== 200) settle(Ok({ status, body: undefined }));
            else settle(Err({ kind: 'unreadable', message: (error as Error).message }));
          }
        },
        onResponseError: (controller, error) => {
          settle(Err({ kind: 'unreachable', message: error.message }));
          this.close();
        },
      };
      client.dispatch({ method: 'GET', path }, handler);
    });
  }

  /** Closes the connection; a pending request fails. */
  close(): void {
    const { client } = this;
    this.client = null;
    client?.destroy().catch(() => {});
  }

  private openConnection(): Client {
    const client = new Client(this.origin, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      pipelining: 1,
      bodyTimeout: 0,
      headersTimeout: 0,
    });
    this.client = client;
    return client;
  }
}
