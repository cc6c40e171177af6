import { type Dispatcher } from 'undici';
import Client from 'undici/lib/dispatcher/client';
import { Err, Ok, type Result } from 'ts-results';

import { type Clock } from '../runtime';

import { type JsonReply } from './jsonReply';
import { type TransportError } from './transportError';

// An address in the own region answers within a few milliseconds; this bounds a lost packet.
const CONNECT_TIMEOUT_MS = 500;

/** Asks one address over one kept connection; a connection that does not answer is given up. */
export class JsonClient {
  private client: Client | null = null;

  constructor(
    /** For example http://10.0.0.1:8080. */
    private readonly origin: string,
    private readonly clock: Clock,
  ) {}

  /** Reads `path`; fails when the whole reply is not there at the monotonic time `deadline`. */
  get(path: string, deadline: number): Promise<Result<JsonReply, TransportError>> {
    return new Promise((resolve) => {
      const client = this.client ?? this.open();
      const chunks: Buffer[] = [];
      let status = 0;
      let ended = false;
      const timer = this.clock.setTimer(deadline, () => {
        ended = true;
        resolve(Err({ kind: 'timeout', message: `no reply from ${this.origin} in time` }));
        this.close();
      });
      const end = (result: Result<JsonReply, TransportError>) => {
        if (ended) return;
        ended = true;
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
            end(Ok({ status, body: text === '' ? undefined : (JSON.parse(text) as unknown) }));
          } catch (error) {
            if (status !== 200) end(Ok({ status, body: undefined }));
            else end(Err({ kind: 'unreadable', message: (error as Error).message }));
          }
        },
        onResponseError: (controller, error) => {
          end(Err({ kind: 'unreachable', message: error.message }));
          this.close();
        },
      };
      client.dispatch({ method: 'GET', path }, handler);
    });
  }

  /** Ends the connection; a request that still runs fails. */
  close(): void {
    const { client } = this;
    this.client = null;
    client?.destroy().catch(() => {});
  }

  private open(): Client {
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
