import { type Dispatcher } from 'undici';
import Client from 'undici/lib/dispatcher/client';
import { type Result } from 'ts-results';

import { type Clock } from '../runtime';

import { type JsonReply } from './jsonReply';
import { PendingReply } from './pendingReply';
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

  /**
   * Gets `path`. Fails unless the reply begins by the monotonic time `deadline` and then arrives
   * without a pause.
   */
  get(path: string, deadline: number): Promise<Result<JsonReply, TransportError>> {
    return new Promise((resolve) => {
      const client = this.client ?? this.openConnection();
      const reply = new PendingReply(this.clock, deadline, resolve, () => this.close());
      const handler: Dispatcher.DispatchHandler = {
        onRequestStart() {},
        onResponseStart(controller, status, headers) {
          reply.begin(status, headers);
        },
        onResponseData(controller, chunk) {
          reply.append(chunk);
        },
        onResponseEnd() {
          reply.complete();
        },
        onResponseError(controller, error) {
          reply.fail('unreachable', error.message);
        },
      };
      try {
        client.dispatch({ method: 'GET', path, headers: { 'accept-encoding': 'gzip' } }, handler);
      } catch (error) {
        reply.fail('unreachable', (error as Error).message);
      }
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
