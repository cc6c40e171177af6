import { Err, Ok, type Result } from 'ts-results';
import { Agent, request } from 'undici';

import { type ClientError } from './clientError';
import { type GatewayAnswer } from './gatewayAnswer';
import { type GatewayRequest } from './gatewayRequest';

// With these no connection was made, so the gateway cannot have received anything.
const NOT_CONNECTED: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Sends requests to the operators' ports of gateways. */
export class GatewayClient {
  private readonly agent: Agent;

  constructor(
    private readonly token: string,
    private readonly timeLimitMs: number,
  ) {
    // Half of the limit, so that a connection that fails is told from an answer that is missing.
    this.agent = new Agent({ connect: { timeout: timeLimitMs / 2 } });
  }

  /** Sends one request to `gateway` (ADDRESS:PORT) and waits for the whole answer. */
  async send(gateway: string, order: GatewayRequest): Promise<Result<GatewayAnswer, ClientError>> {
    const headers: Record<string, string> = {};
    if (this.token !== '') headers.authorization = `Bearer ${this.token}`;
    if (order.contentType !== '') headers['content-type'] = order.contentType;
    try {
      const response = await request(`http://${gateway}${order.path}`, {
        method: order.method,
        headers,
        body: order.method === 'POST' ? order.body : null,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(this.timeLimitMs),
      });
      return Ok({ status: response.statusCode, text: await response.body.text() });
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      const mayHaveArrived = !NOT_CONNECTED.has(String(code));
      return Err({ mayHaveArrived, detail: `${gateway}: ${message || String(code)}` });
    }
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.agent.destroy();
  }
}
