import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';

import { type Catalog } from '../catalog';
import { ALWAYS_VALID_KEYS, type KeyValidity } from '../freshness';
import { type EventSink } from '../logging';
import { type Clock, type Random, type Timer, TurnQueue } from '../runtime';
import { retryAfter } from '../placement';

import { type CallEnd } from './callEnd';
import { CallerAnswer, type OwnAnswer } from './callerAnswer';
import { type CallProtocol } from './callProtocol';
import { CallRun } from './callRun';
import { callDeadlines } from './callDeadlines';
import { CallerCheck } from './callerCheck';
import { CallerConnection } from './callerConnection';
import { type DeliveryContext } from './deliveryContext';
import { type CallQuotas, UNLIMITED_QUOTAS } from './callQuotas';
import { discardBody } from './discardBody';
import { DELIVERY_EVENTS } from './events';
import { type MemoryAccount } from './memoryAccount';
import { type MemoryShare } from './memoryShare';
import { type RoutedCall, readCall } from './readCall';
import { QuotaGate, type SentCallEnd } from './quotaGate';
import { TenantWarnings } from './tenantWarnings';
import { WeightedRoundRobin } from './weightedRoundRobin';

// Upper bound of the header sizes that a configuration may allow: the limit of the Node.js parser is
// fixed when the server is created.
const MAX_HEADER_BYTES = 128 * 1024;
// Allowed for the request line, beside the headers.
const REQUEST_LINE_BYTES = 8 * 1024;
// Remaining time assumed for a refused caller that states no timeout.
const DEFAULT_TIMEOUT_MS = 1000;

// A starting host receives its configuration about 150 ms after it begins to listen. A caller refused
// during that time would retry later than that and lose one of its attempts.
const CONFIGURATION_WAIT_MS = 250;

// Memory that a call without bodies takes.
const CALL_BYTES = 16 * 1024;

// An answer that its caller does not read is dropped this long after the caller stopped waiting.
const UNREAD_ANSWER_GRACE_MS = 500;

// A host in contact proves its configuration again within this time. Within it a key that was published
// is known, so that one that is not known may be rejected.
const MAX_PROOF_AGE_MS = 2000;

const TURNED_AWAY_LOG_INTERVAL_MS = 1000;

// Time in each turn of the event loop for callers that send much at once.
const BULK_SHARE_MS = 5;

function bytesOf(chunks: readonly Buffer[]): number {
  return chunks.reduce((sum, chunk) => sum + chunk.length, 0);
}

interface Arrival {
  readonly id: string;
  readonly arrivedAt: number;
  readonly memory: MemoryShare;
}

/** Observes the end of each call. */
export interface CallObserver {
  /** `call` is null when it ended before it had a route and an accepted caller. */
  onEnd(call: RoutedCall | null, end: CallEnd, elapsedMs: number): void;
}

/** Dependencies of the call server. */
export interface CallServerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly protocol: CallProtocol;
  readonly context: DeliveryContext;
  readonly catalog: () => Catalog;
  readonly observer: CallObserver;
  /** Upper bound of the open connections of callers. */
  readonly maxConnections: number;
  /** Bounds the bytes that calls hold until their answers are read. */
  readonly memory: MemoryAccount;
  /** Whether callers' keys may be used; by default always. */
  readonly keys?: KeyValidity;
  /** Time by which a published configuration is in force, in milliseconds; by default unbounded. */
  readonly configurationApplyMs?: number;
  /** Limits of tenants; by default none. */
  readonly quotas?: CallQuotas;
}

/** HTTP server for callers; runs one task per call. */
export class CallServer {
  readonly server: Server;

  private readonly serviceChoice: WeightedRoundRobin;

  private readonly turns: TurnQueue;

  private readonly callers: CallerCheck;

  private readonly quotas: QuotaGate;

  private readonly warnings: TenantWarnings;

  private runningCalls = 0;

  /** Connections turned away since this was last logged. */
  private turnedAway = 0;

  private turnedAwayLoggedAt = -Infinity;

  /** Tasks of the calls without a final answer. */
  private readonly runs = new Set<CallRun>();

  private readonly connections = new Map<Socket, CallerConnection>();

  /** Callbacks that resume the calls which arrived before the first configuration. */
  private readonly awaitingConfiguration = new Set<() => void>();

  constructor(private readonly parts: CallServerParts) {
    this.serviceChoice = new WeightedRoundRobin(parts.random);
    this.turns = new TurnQueue(parts.clock, BULK_SHARE_MS);
    this.callers = new CallerCheck(
      parts.keys ?? ALWAYS_VALID_KEYS,
      Math.min(MAX_PROOF_AGE_MS, parts.configurationApplyMs ?? Infinity),
    );
    this.quotas = new QuotaGate(parts.quotas ?? UNLIMITED_QUOTAS);
    this.warnings = new TenantWarnings(parts.events);
    this.server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true });
    this.server.requestTimeout = 0;
    // When the listener closes, Node.js would reset connections whose last answers are still being read.
    // `closeListener` ends the idle ones.
    this.server.closeIdleConnections = () => {};
    this.server.maxConnections = parts.maxConnections;
    this.server.on('drop', () => this.recordTurnedAway());
    this.server.on('connection', (socket) => this.addConnection(socket));
    this.server.on('request', (request, response) => {
      void this.serve(request, response);
    });
  }

  /** Applies the limits of a new configuration. */
  applyCatalog(catalog: Catalog): void {
    if (catalog.configuration === null) return;
    const { limits, routes } = catalog.configuration;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
    // Read by Node.js for each new connection.
    const maxHeaderSize = Math.min(MAX_HEADER_BYTES, limits.headerBytes + REQUEST_LINE_BYTES);
    Object.assign(this.server, { maxHeaderSize });
    this.serviceChoice.retain(routes);
    this.warnings.applyConfiguration(catalog.configuration);
    for (const resume of this.awaitingConfiguration) resume();
  }

  /** Number of calls without a final answer. */
  callsRunning(): number {
    return this.runningCalls;
  }

  /**
   * Stops accepting connections and closes the idle ones; resolves when the others have closed, with
   * all their calls answered.
   */
  closeListener(): Promise<void> {
    for (const connection of this.connections.values())
      if (!connection.hasOpenCalls()) connection.close();
    return new Promise((resolve) => {
      this.server.close(() => resolve());
    });
  }

  /** Ends the calls that are still running, each with a final answer. */
  endCalls(): void {
    for (const run of this.runs) run.endNow();
  }

  private addConnection(socket: Socket): void {
    // Node.js accepts one connection in each turn of the event loop. Behind many others, a connection would
    // wait for as many turns with the full share of callers that send much.
    this.turns.putOff();
    this.connections.set(socket, new CallerConnection(socket, this.parts.clock, this.turns));
    socket.once('close', () => this.connections.delete(socket));
  }

  private recordTurnedAway(): void {
    this.turnedAway += 1;
    const now = this.parts.clock.now();
    if (now < this.turnedAwayLoggedAt + TURNED_AWAY_LOG_INTERVAL_MS) return;
    this.turnedAwayLoggedAt = now;
    this.parts.events.emit(DELIVERY_EVENTS.turnedAway, { connections: this.turnedAway });
    this.turnedAway = 0;
  }

  private maxBodyBytes(): number {
    return this.parts.catalog().configuration?.limits.bodyBytes ?? 0;
  }

  private isStopping(): boolean {
    return this.parts.context.stopDeadline() !== Infinity;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = this.connections.get(request.socket);
    if (connection === undefined || !this.reads(connection)) {
      request.resume();
      return;
    }
    this.runningCalls += 1;
    const arrivedAt = this.parts.clock.now();
    const { protocol, observer, clock } = this.parts;
    const memory = this.parts.memory.open();
    const earlierCallsEnded = connection.begin(response, () => memory.release());
    // Further calls on the connection need it after this answer.
    const mustClose = () => this.isStopping() && connection.hasOneOpenCall();
    const answer = new CallerAnswer(response, protocol, mustClose);
    // A caller that disconnects ends its call through 'close'; write errors add no information.
    response.on('error', () => {});
    const header = request.headers[protocol.callIdHeader];
    const id = typeof header === 'string' ? header : '';
    try {
      const { call, end } = await this.handle(request, connection, { id, arrivedAt, memory });
      if (end.kind === 'answer') memory.grow(bytesOf(end.answer.chunks));
      observer.onEnd(call, end, clock.now() - arrivedAt);
      this.logEnd(id, call, end, clock.now() - arrivedAt);
      await earlierCallsEnded;
      if (end.kind === 'own' && answer.isOpen()) answer.respond(end.own, id);
      if (end.kind === 'answer' && answer.isOpen()) await answer.forward(end.answer);
      else if (end.kind === 'answer') end.answer.rest?.cancel();
      this.limitAnswerTime(response, call);
      if (!request.complete) discardBody(request, this.maxBodyBytes());
    } catch (error) {
      this.parts.events.emit(DELIVERY_EVENTS.unexpected, { call: id, reason: String(error) });
      if (response.headersSent) response.destroy();
      else answer.respond({ kind: 'unknown', status: 502, detail: 'unexpected error' }, id);
    } finally {
      this.runningCalls -= 1;
    }
  }

  // While the host is stopping, calls sent behind others are left to the caller, which sends them to
  // another host once this connection is closed.
  private reads(connection: CallerConnection): boolean {
    if (this.isStopping() && connection.hasOpenCalls()) connection.stopReadingCalls();
    return connection.readsCalls();
  }

  private async handle(
    request: IncomingMessage,
    connection: CallerConnection,
    { id, arrivedAt, memory }: Arrival,
  ): Promise<{ call: RoutedCall | null; end: CallEnd }> {
    if (!memory.tryGrow(CALL_BYTES))
      return { call: null, end: { kind: 'own', own: this.refuse('noMemory', request) } };
    await this.waitForConfiguration(arrivedAt + CONFIGURATION_WAIT_MS);
    const routed = this.routeCall(request, id, arrivedAt);
    if ('kind' in routed) return { call: null, end: { kind: 'own', own: routed } };
    const hasLeft = () => request.socket.destroyed;
    const end = await this.quotas.run(routed.tenant, hasLeft, () =>
      this.runCall(request, connection, routed, memory),
    );
    return { call: routed, end };
  }

  private async runCall(
    request: IncomingMessage,
    connection: CallerConnection,
    routed: RoutedCall,
    memory: MemoryShare,
  ): Promise<SentCallEnd> {
    const call = await readCall(request, routed, this.parts.protocol, memory);
    if (call === null) return { end: { kind: 'callerLeft' }, wasSent: false };
    if (call === 'noMemory')
      return { end: { kind: 'own', own: this.refuse('noMemory', request) }, wasSent: false };
    if ('detail' in call)
      return { end: { kind: 'own', own: { kind: 'rejected', ...call } }, wasSent: false };
    const run = new CallRun(this.parts.context, call);
    this.runs.add(run);
    const end = await connection.run(run).finally(() => this.runs.delete(run));
    return { end, wasSent: run.wasSent() };
  }

  /** Closes the connection when its caller has not read the answer by the time it stops waiting. */
  private limitAnswerTime(response: ServerResponse, call: RoutedCall | null): void {
    if (response.writableFinished || response.destroyed) return;
    const now = this.parts.clock.now();
    // A caller that states no deadline may read for as long as it may be idle.
    const usualDeadline =
      now + Math.max(call?.route.timeLimitMs ?? DEFAULT_TIMEOUT_MS, this.server.keepAliveTimeout);
    const callerDeadline = call?.callerDeadline ?? Infinity;
    const deadline = Number.isFinite(callerDeadline) ? callerDeadline : usualDeadline;
    const { socket } = response.req;
    const dropAt = Math.max(now, deadline) + UNREAD_ANSWER_GRACE_MS;
    const timer = this.parts.clock.setTimer(dropAt, () => socket.destroy());
    response.once('close', () => timer.cancel());
  }

  private async waitForConfiguration(deadline: number): Promise<void> {
    const { catalog, clock } = this.parts;
    if (catalog().configuration !== null) return;
    await new Promise<void>((resolve) => {
      let timer: Timer | null = null;
      const resume = () => {
        timer?.cancel();
        this.awaitingConfiguration.delete(resume);
        resolve();
      };
      timer = clock.setTimer(deadline, resume);
      this.awaitingConfiguration.add(resume);
    });
  }

  private routeCall(
    request: IncomingMessage,
    id: string,
    arrivedAt: number,
  ): RoutedCall | OwnAnswer {
    const catalog = this.parts.catalog();
    if (catalog.configuration === null) return this.refuse('noConfiguration', request);
    const route = catalog.routes.find(request.headers.host ?? '', request.url ?? '');
    if (route === null) return { kind: 'rejected', status: 404, detail: 'no route' };
    const caller = this.callers.check(request.rawHeaders, route, catalog);
    if (caller.kind !== 'accepted') return caller;
    // Nothing would show that an answer belongs to the call, and targets reject it as well.
    if (id === '') return { kind: 'rejected', status: 400, detail: 'no call id' };
    const service = this.serviceChoice.next(route);
    if (service === null) return this.refuse('noTarget', request);
    const deadlines = callDeadlines(request, route, arrivedAt, this.parts.protocol);
    if (deadlines.deadline > this.parts.context.stopDeadline())
      return this.refuse('stopping', request);
    return { id, route, tenant: caller.tenant, service, arrivedAt, ...deadlines, catalog };
  }

  private refuse(
    reason: 'noConfiguration' | 'noMemory' | 'noTarget' | 'stopping',
    request: IncomingMessage,
  ): OwnAnswer {
    const statedTimeoutMs = Number(request.headers[this.parts.protocol.timeoutHeader]);
    const leftMs = statedTimeoutMs > 0 ? statedTimeoutMs : DEFAULT_TIMEOUT_MS;
    const input = { leftMs, workMs: 0, rank: 0, callIntervalMs: 0, quietForMs: 0 };
    return { kind: 'notRun', reason, retryAfterMs: retryAfter(reason, input, this.parts.random) };
  }

  private logEnd(id: string, call: RoutedCall | null, end: CallEnd, elapsedMs: number): void {
    this.parts.events.emit(DELIVERY_EVENTS.ended, {
      call: id,
      route: call?.route.name ?? null,
      tenant: call?.tenant?.name,
      elapsedMs: Math.round(elapsedMs),
      end: end.kind,
      ...(end.kind === 'own' ? end.own : {}),
      ...(end.kind === 'answer' ? { status: end.answer.head.status } : {}),
    });
  }
}
