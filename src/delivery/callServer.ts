import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { type Catalog } from '../catalog';
import { type EventSink } from '../logging';
import { type Clock, type Random, type Timer } from '../runtime';
import { retryAfter } from '../placement';

import { type CallEnd } from './callEnd';
import { CallerAnswer, type OwnAnswer } from './callerAnswer';
import { type CallProtocol } from './callProtocol';
import { CallRun } from './callRun';
import { type DeliveryContext } from './deliveryContext';
import { DELIVERY_EVENTS } from './events';
import { type IncomingCall } from './incomingCall';
import { type CallStart, readCall } from './readCall';
import { WeightedChoice } from './weightedChoice';

// Largest header that any configuration is expected to allow; the limit of Node.js's parser cannot
// change while the server runs.
const LARGEST_HEADER_BYTES = 128 * 1024;
// Time that a refused caller is assumed to have left when it does not say.
const UNKNOWN_LEFT_MS = 1000;

// A host that starts reads its configuration about 150 ms after it listens; a caller that is refused
// meanwhile would come back later than that and would have used up one of its attempts.
const CONFIGURATION_WAIT_MS = 250;

/** Is told of the end of each call. */
export interface CallObserver {
  onEnd(call: IncomingCall | null, end: CallEnd, elapsedMs: number): void;
}

/** What the server reads of its host. */
export interface CallServerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly protocol: CallProtocol;
  readonly context: DeliveryContext;
  readonly catalog: () => Catalog;
  readonly isStopping: () => boolean;
  readonly observer: CallObserver;
}

/** Accepts callers' connections; one task for each call. */
export class CallServer {
  readonly server: Server;

  private readonly weights: WeightedChoice;

  private running = 0;

  private idle: (() => void) | null = null;

  /** Calls that arrived before the first configuration. */
  private readonly unconfigured = new Set<() => void>();

  constructor(private readonly parts: CallServerParts) {
    this.weights = new WeightedChoice(parts.random);
    this.server = createServer({ maxHeaderSize: LARGEST_HEADER_BYTES, noDelay: true });
    this.server.requestTimeout = 0;
    this.server.on('request', (request, response) => {
      void this.serve(request, response);
    });
  }

  /** Takes over limits of a new configuration. */
  follow(catalog: Catalog): void {
    const limits = catalog.configuration?.limits;
    if (limits === undefined) return;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.weights.clear();
    for (const resume of this.unconfigured) resume();
  }

  /** Number of calls that have no final answer yet. */
  callsRunning(): number {
    return this.running;
  }

  /** Resolves when no call runs. */
  whenIdle(): Promise<void> {
    if (this.running === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.idle = resolve;
    });
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.running += 1;
    const arrivedAt = this.parts.clock.now();
    const { protocol, isStopping, observer, clock } = this.parts;
    const answer = new CallerAnswer(response, protocol, isStopping);
    // A caller that leaves ends its call through 'close'; a failed write tells nothing more.
    response.on('error', () => {});
    const header = request.headers[protocol.callIdHeader];
    const id = typeof header === 'string' ? header : '';
    try {
      const { call, end } = await this.handle(request, response, id, arrivedAt);
      observer.onEnd(call, end, clock.now() - arrivedAt);
      this.log(id, call, end, clock.now() - arrivedAt);
      if (end.kind === 'own' && answer.isOpen()) answer.answer(end.own, id);
      if (end.kind === 'answer' && answer.isOpen()) await answer.deliver(end.answer);
      if (!request.complete) request.resume();
    } finally {
      this.running -= 1;
      if (this.running === 0) this.idle?.();
    }
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    arrivedAt: number,
  ): Promise<{ call: IncomingCall | null; end: CallEnd }> {
    await this.untilConfigured(arrivedAt + CONFIGURATION_WAIT_MS);
    const start = this.begin(request, id, arrivedAt);
    if ('kind' in start) return { call: null, end: { kind: 'own', own: start } };
    const call = await readCall(request, start, this.parts.protocol);
    if (call === null) return { call: null, end: { kind: 'callerLeft' } };
    if ('detail' in call)
      return { call: null, end: { kind: 'own', own: { kind: 'rejected', ...call } } };
    const run = new CallRun(this.parts.context, call);
    response.on('close', () => {
      if (!response.writableFinished) run.callerLeft();
    });
    if (response.destroyed) run.callerLeft();
    return { call, end: await run.run() };
  }

  private async untilConfigured(deadline: number): Promise<void> {
    const { catalog, clock } = this.parts;
    if (catalog().configuration !== null) return;
    await new Promise<void>((resolve) => {
      let timer: Timer | null = null;
      const resume = () => {
        timer?.cancel();
        this.unconfigured.delete(resume);
        resolve();
      };
      timer = clock.setTimer(deadline, resume);
      this.unconfigured.add(resume);
    });
  }

  private begin(request: IncomingMessage, id: string, arrivedAt: number): CallStart | OwnAnswer {
    const catalog = this.parts.catalog();
    if (catalog.configuration === null) return this.notRun('noConfiguration', request);
    const route = catalog.routes.find(request.headers.host ?? '', request.url ?? '');
    if (route === null) return { kind: 'rejected', status: 404, detail: 'no route' };
    const service = this.weights.next(route);
    if (service === null) return this.notRun('noTarget', request);
    return { id, route, service, arrivedAt, catalog };
  }

  private notRun(reason: 'noConfiguration' | 'noTarget', request: IncomingMessage): OwnAnswer {
    const stated = Number(request.headers[this.parts.protocol.timeLeftHeader]);
    const leftMs = stated > 0 ? stated : UNKNOWN_LEFT_MS;
    const input = { leftMs, workMs: 0, rank: 0 };
    return { kind: 'notRun', reason, retryAfterMs: retryAfter(reason, input, this.parts.random) };
  }

  private log(id: string, call: IncomingCall | null, end: CallEnd, elapsedMs: number): void {
    this.parts.events.emit(DELIVERY_EVENTS.ended, {
      call: id,
      route: call?.route.name ?? null,
      elapsedMs: Math.round(elapsedMs),
      end: end.kind,
      ...(end.kind === 'own' ? end.own : {}),
      ...(end.kind === 'answer' ? { status: end.answer.head.status } : {}),
    });
  }
}
