import { type IncomingMessage } from 'node:http';

import { type Route } from '../catalog';

import { type CallProtocol } from './callProtocol';

// Margin that lets the final answer of this host reach the caller before the caller times out.
const ANSWER_MARGIN_MS = 8;

/** Times by which a call must be answered, in monotonic milliseconds. */
export interface CallDeadlines {
  /** Latest time at which the caller gets a final answer. */
  readonly deadline: number;
  /** Time at which the caller stops waiting. */
  readonly callerDeadline: number;
}

function statedTimeoutMs(request: IncomingMessage, protocol: CallProtocol): number {
  const value = Number(request.headers[protocol.timeoutHeader]);
  return Number.isFinite(value) && value > 0 ? value : Infinity;
}

/** Deadlines of a call that arrived at `arrivedAt`, from its route and its stated timeout. */
export function callDeadlines(
  request: IncomingMessage,
  route: Route,
  arrivedAt: number,
  protocol: CallProtocol,
): CallDeadlines {
  const callerDeadline = arrivedAt + statedTimeoutMs(request, protocol);
  const deadline = Math.min(arrivedAt + route.timeLimitMs, callerDeadline - ANSWER_MARGIN_MS);
  return { deadline, callerDeadline };
}
