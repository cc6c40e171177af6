import { callShare } from '../../src/balancer';
import { type Catalog, type Target } from '../../src/catalog';
import {
  type AnswerHead,
  type AttemptObserver,
  type CallEnd,
  CallRun,
  CrashGuard,
  Delivery,
  type IncomingCall,
  Placer,
  type RunningAttempt,
} from '../../src/delivery';
import {
  identityKey,
  type InFlightCounts,
  InFlightBroadcaster,
  InFlightTable,
  LastSlotSlowdowns,
  type LeavingTarget,
  TargetStatisticsTable,
  ReportBroadcaster,
  type TargetReport,
  type TargetSubsets,
  WorkEstimates,
} from '../../src/knowledge';
import { type Clock, type Random } from '../../src/runtime';
import { CrashTable } from '../../src/suspects';

import { ModelAttempt } from './modelAttempt';
import { type ModelConnections } from './modelConnections';
import { type ModelEnd, type ModelTarget } from './modelTarget';

/** Dependencies of a modelled host. */
export interface ModelEnvironment {
  readonly clock: Clock;
  readonly random: Random;
  readonly catalog: () => Catalog;
  readonly targets: ReadonlyMap<string, ModelTarget>;
  readonly hostCount: () => number;
  readonly neighbourCount: () => number;
  /** Ids of the hosts of the zone, including this one. */
  readonly zoneHosts: () => readonly string[];
  readonly workMsOf: (call: IncomingCall) => number;
  /** One-way network delay between two zones. */
  readonly oneWayDelayMs: (from: string, to: string) => number;
  readonly broadcastReports: (reports: readonly TargetReport[], isCrossZone: boolean) => void;
  readonly broadcastInFlightCounts: (
    counts: readonly InFlightCounts[],
    isCrossZone: boolean,
  ) => void;
  /** Whether hosts tell each other their in-flight counts; by default they do. */
  readonly hasInFlightBroadcasts?: boolean;
  /** Which hosts share a target; by default all hosts use all targets. */
  readonly subsets?: TargetSubsets;
  /** Called when an answer or a health check is the first to say that a target is leaving. */
  readonly onLeaving?: (target: LeavingTarget) => void;
  /** Called when a call has reached a target, before the target runs it. */
  readonly onArrival?: (call: IncomingCall, target: ModelTarget) => void;
  /** Connections to the targets; by default there is always an idle one. */
  readonly connections?: ModelConnections;
}

const NO_HEADERS = {};

/** A host that runs the product's decisions and sends calls to modelled targets. */
export class ModelHost {
  readonly targetStates: TargetStatisticsTable;

  readonly inFlightCounts: InFlightTable;

  readonly inFlightBroadcaster: InFlightBroadcaster;

  private readonly reportBroadcaster: ReportBroadcaster;

  private readonly delivery: Delivery;

  private readonly runningAttempts = new Set<RunningAttempt>();

  private hasStopped = false;

  constructor(
    readonly id: string,
    readonly zone: string,
    private readonly environment: ModelEnvironment,
  ) {
    const { clock, random, catalog } = environment;
    const { neighbourCount, subsets, onLeaving = () => {} } = environment;
    const hasInFlightBroadcasts = (key: number) =>
      subsets?.hasInFlightBroadcasts(key) ?? environment.hasInFlightBroadcasts ?? true;
    this.inFlightCounts = new InFlightTable(clock);
    this.inFlightBroadcaster = new InFlightBroadcaster(clock, id, {
      broadcastInFlightCounts: (counts, isCrossZone) =>
        environment.broadcastInFlightCounts(counts, isCrossZone),
      neighbourCount,
      hasInFlightBroadcasts,
    });
    this.targetStates = new TargetStatisticsTable(
      clock,
      this.inFlightCounts,
      (...change) => this.inFlightBroadcaster.recordCalls(...change),
      hasInFlightBroadcasts,
    );
    this.reportBroadcaster = new ReportBroadcaster(clock, {
      broadcastReports: (reports, isCrossZone) =>
        environment.broadcastReports(reports, isCrossZone),
      neighbourCount,
      receiverCount: () => (subsets?.isActive() ? subsets.otherSharers() : neighbourCount()),
    });
    const events = { emit: () => {} };
    const placer = new Placer({
      ...{ clock, random, catalog, zone, targetStates: this.targetStates },
      work: new WorkEstimates(),
      lastSlotSlowdowns: new LastSlotSlowdowns(),
      preference: subsets ?? { has: () => true, version: () => 0 },
      isConnected: (target) => environment.connections?.hasIdle(target.id) ?? true,
      callShare: (target, rate) =>
        callShare(target.id, target.zone === zone, rate, {
          hostId: id,
          zoneHosts: environment.zoneHosts(),
          maxLiveHostCount: environment.hostCount(),
        }),
    });
    this.delivery = new Delivery({
      ...{ clock, random, events, placer, catalog, targetStates: this.targetStates },
      // Not used: the model transmits calls itself, so nothing reads headers.
      protocol: {} as never,
      crashes: new CrashGuard(
        clock,
        new CrashTable(clock),
        events,
        { broadcastCrashes: () => {} },
        () => false,
      ),
      retryBudgetLimits: { ratio: 0.2, slack: 60, windowMs: 10_000 },
      stopDeadline: () => Infinity,
      hostCount: environment.hostCount,
      onReport: (report) => this.observe(report),
      onUnexpectedClose: () => {},
      onLeaving,
      counters: {
        attempt: () => {},
        retry: () => {},
        yielded: () => {},
        turn: () => {},
        connection: () => {},
        attemptTime: () => {},
      },
      transmit: (call, target, observer) => this.transmit(call, target, observer),
    });
  }

  /** Runs a call with the product's policy. */
  run(call: IncomingCall): Promise<CallEnd> {
    return new CallRun(this.delivery, call).run();
  }

  /** Sends a call once, to the one of two random targets with fewer own calls in flight. */
  runNaive(call: IncomingCall): Promise<CallEnd> {
    const { random, catalog, clock } = this.environment;
    const targets = catalog().targetsByService.get(call.service)!;
    const candidateIds = [0, 1].map(() => targets[random.integer(targets.length)]!.id);
    const ownInFlight = (id: string) => this.targetStates.get(id)!.ownInFlight;
    const chosen =
      ownInFlight(candidateIds[0]!) <= ownInFlight(candidateIds[1]!)
        ? candidateIds[0]!
        : candidateIds[1]!;
    return new Promise((resolve) => {
      const attempt = this.delivery.openAttempt(call, chosen, (_, { end, answer }) => {
        if (end === 'answered') resolve({ kind: 'answer', answer: answer! });
        else if (end === 'notRun') {
          const refusal = { kind: 'notRun', reason: 'overloaded', retryAfterMs: 100 } as const;
          resolve({ kind: 'own', own: refusal });
        } else resolve({ kind: 'own', own: { kind: 'unknown', status: 502, detail: '' } });
      });
      clock.setTimer(call.deadline, () => attempt.abort());
      attempt.start();
    });
  }

  /** Applies a changed catalog. */
  applyCatalog(catalog: Catalog): void {
    this.targetStates.applyCatalog(catalog);
    this.environment.subsets?.applyCatalog(catalog);
    this.delivery.applyCatalog(catalog);
  }

  /** Ends all attempts, and sends none from now on. */
  stop(): void {
    this.hasStopped = true;
    for (const attempt of [...this.runningAttempts]) attempt.abort();
  }

  /** Applies the result of a health check of a target and broadcasts it. */
  probe(model: ModelTarget): void {
    const { target } = model;
    if (model.isLeaving && this.targetStates.recordLeaving(target))
      this.environment.onLeaving?.(target);
    this.observe({
      ...{ target: target.id, age: 0, ...model.load(), pace: model.pace() },
      ...{ observation: 'probe' as const, coldLeft: null, callLimit: null },
    });
  }

  /** Applies an observation of this host and broadcasts it. */
  observe(report: TargetReport): void {
    const hasLimitChanged = this.targetStates.hasOtherLimit(report);
    this.targetStates.applyReport(report);
    this.reportBroadcaster.enqueue(report, hasLimitChanged);
  }

  /** Applies a report of another host. */
  receive(report: TargetReport): void {
    this.targetStates.applyReport(report);
    if (this.environment.subsets?.hasInFlightBroadcasts(identityKey(report.target)))
      this.reportBroadcaster.recordReceived(report);
  }

  private transmit(call: IncomingCall, target: Target, observer: AttemptObserver): RunningAttempt {
    const { clock } = this.environment;
    const model = this.environment.targets.get(target.id)!;
    const oneWayDelayMs = this.environment.oneWayDelayMs(this.zone, target.zone);
    const attempt: ModelAttempt = new ModelAttempt(call, target, {
      ...{ clock, model, oneWayDelayMs, workMs: this.environment.workMsOf(call) },
      maySend: () => {
        if (!this.hasStopped) this.environment.connections?.take(target.id);
        return !this.hasStopped;
      },
      onArrival: () => this.environment.onArrival?.(call, model),
      onEnd: (kind) => {
        this.runningAttempts.delete(attempt);
        if (kind !== 'reset' && kind !== 'aborted')
          this.environment.connections?.release(target.id);
        if (kind !== 'reset' && kind !== 'aborted') {
          observer.onHead(attempt, this.head(model, call, kind));
        }
        observer.onEnd(attempt, this.result(model, call, kind));
      },
    });
    this.runningAttempts.add(attempt);
    return attempt;
  }

  private head(
    model: ModelTarget,
    call: IncomingCall,
    kind: Exclude<ModelEnd, 'aborted'>,
  ): AnswerHead {
    const status = { done: 200, failed: 500, refused: 503, reset: 0 }[kind];
    const metadata = {
      ...{
        callId: call.id,
        isSigned: true,
        isNotRun: kind === 'refused',
        coldLeft: null,
        isLeaving: model.isLeaving,
        quietMs: kind === 'refused' ? model.quietMs(this.environment.clock.now()) : null,
      },
      callLimit: model.statedLimit,
      ...{ load: { ...model.load(), pace: model.pace() }, target: model.target.id },
    };
    return { status, headers: NO_HEADERS, metadata };
  }

  private result(model: ModelTarget, call: IncomingCall, kind: ModelEnd) {
    if (kind === 'aborted') {
      return { end: 'unknown', answer: null, error: 'aborted', message: kind } as const;
    }
    const answer = { head: this.head(model, call, kind), chunks: [], rest: null };
    const results = {
      done: { end: 'answered', answer, error: null, message: '' },
      failed: { end: 'failed', answer, error: null, message: 'status 500' },
      refused: { end: 'notRun', answer: null, error: null, message: 'status 503' },
      reset: { end: 'unknown', answer: null, error: 'broken', message: 'reset' },
    } as const;
    return results[kind];
  }
}
