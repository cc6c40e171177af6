import { Err, Ok, type Result } from 'ts-results';

import {
  type PeerError,
  type PeerHandler,
  type PeerMethod,
  type PeerMethods,
  type PeerTransport,
} from '../../src/peer';

/** In-memory network for unary calls; hosts can be made unreachable and replies dropped. */
export class MemoryNetwork {
  private readonly handlers = new Map<string, PeerHandler<PeerMethod>>();

  /** Hosts that neither send nor receive calls. */
  readonly down = new Set<string>();

  /** Methods whose replies are dropped after the request was handled. */
  readonly lostReplies = new Set<PeerMethod>();

  transport(hostId: string): Pick<PeerTransport, 'call' | 'handle'> {
    return {
      handle: (method, handler) => {
        this.handlers.set(`${hostId} ${method}`, handler as unknown as PeerHandler<PeerMethod>);
      },
      call: (to, method, request) => this.deliver(hostId, to, method, request),
    };
  }

  private async deliver<Method extends PeerMethod>(
    from: string,
    to: string,
    method: Method,
    request: PeerMethods[Method]['request'],
  ): Promise<Result<PeerMethods[Method]['reply'], PeerError>> {
    const handler = this.handlers.get(`${to} ${method}`);
    if (handler === undefined || this.down.has(to) || this.down.has(from)) {
      return Err({ kind: 'unreachable', detail: to });
    }
    const reply = await handler(request);
    if (this.lostReplies.has(method)) return Err({ kind: 'deadline', detail: 'reply lost' });
    return Ok(reply as PeerMethods[Method]['reply']);
  }
}
