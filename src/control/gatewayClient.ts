import { Err, Ok, type Result } from 'ts-results';
import { Agent, request } from 'undici';

import { type ClientError } from './clientError';
import { type GatewayAnswer } from './gatewayAnswer';
import { type GatewayRequest } from './gatewayRequest';

// Errors before a connection is established, so the gateway cannot have received the request.
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
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
    private readonly timeoutMs: number,
  ) {
    // Half of the time limit, so that a connect timeout is distinct from a missing response.
    this.agent = new Agent({ connect: { timeout: timeoutMs / 2 } });
  }

  /** Sends one request to `gateway` (ADDRESS:PORT) and reads the whole response. */
  async send(
    gateway: string,
    gatewayRequest: GatewayRequest,
  ): Promise<Result<GatewayAnswer, ClientError>> {
    const headers: Record<string, string> = {};
    if (this.token !== '') headers.authorization = `Bearer ${this.token}`;
    if (gatewayRequest.contentType !== '') headers['content-type'] = gatewayRequest.contentType;
    try {
      const response = await request(`http://${gateway}${gatewayRequest.path}`, {
        method: gatewayRequest.method,
        headers,
        body: gatewayRequest.method === 'POST' ? gatewayRequest.body : null,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      return Ok({ status: response.statusCode, text: await response.body.text() });
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      const mayHaveArrived = !CONNECT_ERROR_CODES.has(String(code));
      return Err({ mayHaveArrived, detail: `${gateway}: ${message || String(code)}` });
    }
  }

  /** Closes all connections, including those with requests in progress. */
  close(): Promise<void> {
    return this.agent.destroy();
  }
}
