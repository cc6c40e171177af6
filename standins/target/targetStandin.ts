import { type IncomingMessage, type ServerResponse } from 'node:http';

import { Agent } from 'undici';

import { type Random, SeededRandom } from '../../src/runtime';

import { Listener } from '../listener';

import { callNext } from './callNext';
import { LaggingValue } from './laggingValue';
import { markOf } from './marks';
import { type PendingCall } from './pendingCall';
import { RunLog } from './runLog';
import { type RunRecord } from './runRecord';
import { drawServiceTime } from './serviceTime';
import { type TargetSettings, targetSettingsSchema } from './targetSettings';
import { Temperature } from './temperature';

const BREAKDOWN_FACTOR = 10;

/** Stand-in for a target; it records which calls ran. */
export class TargetStandin {
  readonly log = new RunLog();

  private current: TargetSettings = targetSettingsSchema.parse({});

  private running = 0;

  private waiting: PendingCall[] = [];

  private readonly temperature: Temperature;

  private readonly random: Random;

  private readonly agent = new Agent();

  private readonly reportedLoad = new LaggingValue(0);

  private readonly reportedReady = new LaggingValue(true);

  private readonly listener = new Listener((request, response) => this.handle(request, response));

  private port = 0;

  private restartTimer: NodeJS.Timeout | null = null;

  constructor(
    readonly id: string,
    seed = 1,
  ) {
    this.temperature = new Temperature(id);
    this.random = new SeededRandom(seed);
  }

  /** All calls that the target accepted, in order. */
  get runs(): readonly RunRecord[] {
    return this.log.runs;
  }

  get inFlight(): number {
    return this.log.inFlight;
  }

  get highestInFlight(): number {
    return this.log.highestInFlight;
  }

  get settings(): TargetSettings {
    return this.current;
  }

  get instance(): string {
    return this.temperature.instance;
  }

  get serviceTime(): number {
    return this.current.serviceTimeMs;
  }

  /** Median service time in milliseconds. */
  set serviceTime(serviceTimeMs: number) {
    this.configure({ serviceTimeMs });
  }

  /** Changes some settings; throws on values outside the schema. */
  configure(changes: Partial<TargetSettings>): void {
    this.current = targetSettingsSchema.parse({ ...this.current, ...changes });
    this.reportedReady.set(!this.current.draining);
  }

  /** Starts listening on a loopback address and returns the port. */
  async start(port = 0): Promise<number> {
    if (this.current.coldMs > 0) this.temperature.startColdPeriod(this.current.coldMs);
    this.port = await this.listener.open(port);
    return this.port;
  }

  async stop(): Promise<void> {
    if (this.restartTimer !== null) clearTimeout(this.restartTimer);
    await this.listener.close();
    await this.agent.destroy();
  }

  /** Starts a cold period without warning, with a new instance identity. */
  turnCold(): void {
    this.temperature.restart(this.current.coldMs);
  }

  /** Simulates a killed process: closes listener and connections until `returnAfterMs`. */
  crash(): void {
    if (!this.listener.isOpen) return;
    for (const run of this.log.runs) {
      if (run.endedAt === null) this.log.end(run, 'crashed');
    }
    this.waiting = [];
    this.running = 0;
    void this.listener.close();
    const { returnAfterMs } = this.current;
    if (returnAfterMs === null) return;
    this.restartTimer = setTimeout(() => {
      this.temperature.restart(this.current.coldMs);
      void this.listener.open(this.port);
    }, returnAfterMs);
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/readyz') {
      const isReady = this.reportedReady.get(this.current.reportLagMs);
      response.writeHead(isReady ? 200 : 503, this.targetHeaders()).end();
    } else if (markOf(request) === 'crash') {
      this.accept(request, response, 1);
      this.crash();
    } else if (this.mustRefuse()) {
      this.log.refused += 1;
      request.resume();
      response.writeHead(503, { ...this.targetHeaders(), 'limpetknot-outcome': 'not-run' }).end();
    } else if (this.temperature.isCold() && this.log.inFlight >= this.current.coldLimit) {
      this.log.coldOverruns += 1;
      if (this.current.coldBreakdown === 'reset') request.socket.resetAndDestroy();
      else this.accept(request, response, BREAKDOWN_FACTOR);
    } else {
      this.accept(request, response, 1);
    }
  }

  private mustRefuse(): boolean {
    const { shedding, beyondSlots, slots } = this.current;
    return shedding || (beyondSlots === 'shed' && this.running >= slots);
  }

  private accept(
    request: IncomingMessage,
    response: ServerResponse,
    serviceTimeFactor: number,
  ): void {
    const key = request.headers['idempotency-key'];
    const run = this.log.begin(
      String(request.headers['limpetknot-call-id'] ?? ''),
      typeof key === 'string' ? key : (request.url ?? ''),
    );
    const call: PendingCall = { run, request, response, bytes: 0, serviceTimeFactor };
    this.reportedLoad.set(this.log.inFlight / this.current.slots);
    response.once('close', () => this.end(call, 'cancelled'));
    request.on('data', (chunk: Buffer) => {
      call.bytes += chunk.length;
    });
    request.once('end', () => this.schedule(call));
  }

  private schedule(call: PendingCall): void {
    if (call.run.endedAt !== null) return;
    if (this.current.failing) {
      if (this.end(call, 'failed'))
        call.response.writeHead(500, this.targetHeaders()).end('failed');
    } else if (this.running < this.current.slots) {
      this.run(call);
    } else {
      this.waiting.push(call);
    }
  }

  private run(call: PendingCall): void {
    this.running += 1;
    call.run.state = 'running';
    const durationMs = drawServiceTime(this.current, this.random) * call.serviceTimeFactor;
    const remainingMs = Number(
      call.request.headers['limpetknot-timeout-ms'] ?? Number.POSITIVE_INFINITY,
    );
    if (remainingMs < durationMs) {
      setTimeout(() => this.stopAtDeadline(call), remainingMs);
    } else if (durationMs === 0) {
      void this.complete(call);
    } else {
      setTimeout(() => {
        void this.complete(call);
      }, durationMs);
    }
  }

  private stopAtDeadline(call: PendingCall): void {
    if (this.end(call, 'deadline')) call.response.writeHead(504, this.targetHeaders()).end();
  }

  private async complete(call: PendingCall): Promise<void> {
    const { request, response } = call;
    const { nextUrl } = this.current;
    const status = nextUrl === '' ? 200 : await callNext(nextUrl, request, this.agent);
    if (status !== 200) {
      if (this.end(call, 'failed')) response.writeHead(502, this.targetHeaders()).end();
      return;
    }
    if (!this.end(call, 'done')) return;
    const body = JSON.stringify({ target: this.id, path: request.url, bytes: call.bytes }).padEnd(
      this.current.answerBytes,
    );
    response.writeHead(200, {
      ...this.targetHeaders(),
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    if (markOf(request) !== 'truncate') response.end(body);
    else response.write(body.slice(0, body.length / 2), () => request.socket.destroy());
  }

  /** Ends a call and starts the next queued one; returns false when the call had already ended. */
  private end(call: PendingCall, state: RunRecord['state']): boolean {
    const wasRunning = call.run.state === 'running';
    if (!this.log.end(call.run, state)) return false;
    this.reportedLoad.set(this.log.inFlight / this.current.slots);
    if (!wasRunning) {
      this.waiting = this.waiting.filter((other) => other !== call);
      return true;
    }
    this.running -= 1;
    const next = this.waiting.shift();
    if (next !== undefined) this.run(next);
    return true;
  }

  private targetHeaders(): Record<string, string> {
    const load = this.reportedLoad.get(this.current.reportLagMs) * this.current.reportFactor;
    return {
      'limpetknot-target-instance': this.temperature.instance,
      'endpoint-load-metrics': `TEXT application_utilization=${load.toFixed(3)}`,
      ...(this.current.draining ? { 'limpetknot-target-state': 'draining' } : {}),
    };
  }
}
