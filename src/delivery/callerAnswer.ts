import { type ServerResponse } from 'node:http';

import { type RefusalReason } from '../placement';

import { type ReceivedAnswer } from './attemptResult';
import { type CallProtocol } from './callProtocol';
import { type TenantRefusal } from './tenantRefusal';

/** Answers that this host generates itself, by what they state about the call. */
export type OwnAnswer =
  /** The call was not executed and will not be. */
  | {
      readonly kind: 'notRun';
      readonly reason: RefusalReason | TenantRefusal;
      readonly retryAfterMs: number;
    }
  /** The call may have been executed: 502 without a usable answer, 504 after a timeout. */
  | { readonly kind: 'unknown'; readonly status: 502 | 504; readonly detail: string }
  /** The request is invalid. */
  | { readonly kind: 'rejected'; readonly status: 400 | 401 | 404 | 413; readonly detail: string };

// Only a call beyond the limit of its tenant is refused because of its caller.
function notRunStatus(reason: RefusalReason | TenantRefusal): number {
  return reason === 'quotaExceeded' ? 429 : 503;
}

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'trailer',
  'upgrade',
]);

function encodeProblem(type: string, status: number, title: string): Buffer {
  const document = { type: `urn:limpetknot:problem:${type}`, status, title };
  return Buffer.from(JSON.stringify(document), 'utf8');
}

/** Writes the final answer of a call to its caller. */
export class CallerAnswer {
  constructor(
    private readonly response: ServerResponse,
    private readonly protocol: CallProtocol,
    /** Whether the connection closes after this answer. */
    private readonly mustClose: () => boolean,
  ) {}

  /** False when the caller has disconnected or has been answered. */
  isOpen(): boolean {
    const { response } = this;
    // The answer to a call that was sent behind others has no socket of its own until its turn.
    return !response.destroyed && !response.writableEnded && !response.req.socket.destroyed;
  }

  /** Forwards a target's answer; resolves to false when a long answer was truncated. */
  async forward(answer: ReceivedAnswer): Promise<boolean> {
    const { head, chunks, rest } = answer;
    const headers = this.connectionHeaders();
    for (const [name, value] of Object.entries(head.headers)) {
      if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
      if (this.protocol.internalAnswerHeaders.has(name)) continue;
      headers[name] = value;
    }
    if (rest === null) {
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      this.setContentLength(headers, head.status, head.headers['content-length'], body.length);
      this.response.writeHead(head.status, headers);
      this.response.end(body);
      return true;
    }
    const length = head.headers['content-length'];
    if (length !== undefined) headers['content-length'] = length;
    this.response.writeHead(head.status, headers);
    for (const chunk of chunks) this.response.write(chunk);
    const isComplete = await rest.pipeTo(this.response);
    if (isComplete) this.response.end();
    else this.response.destroy();
    return isComplete;
  }

  /** Sends an answer that this host generated. */
  respond(own: OwnAnswer, callId: string): void {
    const headers = this.connectionHeaders();
    headers['content-type'] = 'application/problem+json';
    if (callId !== '') headers[this.protocol.callIdHeader] = callId;
    let status: number;
    let body: Buffer;
    if (own.kind === 'notRun') {
      status = notRunStatus(own.reason);
      headers[this.protocol.retryAfterHeader] = (own.retryAfterMs / 1000).toFixed(3);
      body = encodeProblem('not-run', status, `not run: ${own.reason}`);
    } else {
      status = own.status;
      if (status === 401) headers['www-authenticate'] = 'Bearer';
      body = encodeProblem(
        own.kind === 'unknown' ? 'outcome-unknown' : 'rejected',
        status,
        own.detail,
      );
    }
    headers['content-length'] = String(body.length);
    this.response.writeHead(status, headers);
    this.response.end(body);
  }

  private connectionHeaders(): Record<string, string | string[]> {
    return this.mustClose() ? { connection: 'close' } : {};
  }

  private setContentLength(
    headers: Record<string, string | string[]>,
    status: number,
    declaredLength: string | undefined,
    length: number,
  ): void {
    const hasNoBody = status === 204 || status === 304 || this.response.req.method === 'HEAD';
    if (!hasNoBody) headers['content-length'] = String(length);
    else if (declaredLength !== undefined) headers['content-length'] = declaredLength;
  }
}
