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
  type FlightCounts,
  FlightOutbox,
  FlightTable,
  FullSlowdowns,
  KnowledgeTable,
  ReportOutbox,
  type TargetReport,
  WorkEstimates,
} from '../../src/knowledge';
import { type Clock, type Random } from '../../src/runtime';
import { CrashTable } from '../../src/suspects';

import { ModelAttempt } from './modelAttempt';
import { type ModelEnd, type ModelTarget } from './modelTarget';

/** Where a modelled host is and whom it can reach. */
export interface ModelSurroundings {
  readonly clock: Clock;
  readonly random: Random;
  readonly catalog: () => Catalog;
  readonly targets: ReadonlyMap<string, ModelTarget>;
  readonly hostCount: number;
  readonly neighbours: number;
  readonly workOf: (call: IncomingCall) => number;
  /** Milliseconds one way between two zones. */
  readonly distance: (from: string, to: string) => number;
  readonly spreadReports: (reports: readonly TargetReport[], isFar: boolean) => void;
  readonly spreadFlights: (counts: readonly FlightCounts[], isFar: boolean) => void;
}

const NO_HEADERS = {};

/** A host that decides with the product's own code and works on modelled targets. */
export class ModelHost {
  readonly knowledge: KnowledgeTable;

  readonly flights: FlightTable;

  readonly flightOutbox: FlightOutbox;

  private readonly outbox: ReportOutbox;

  private readonly delivery: Delivery;

  constructor(
    readonly id: string,
    readonly zone: string,
    private readonly world: ModelSurroundings,
  ) {
    const { clock, random, catalog } = world;
    const neighbourCount = () => world.neighbours;
    this.flights = new FlightTable(clock);
    this.flightOutbox = new FlightOutbox(clock, id, {
      spreadFlights: (counts, isFar) => world.spreadFlights(counts, isFar),
      neighbourCount,
    });
    this.knowledge = new KnowledgeTable(clock, this.flights, (...change) =>
      this.flightOutbox.note(...change),
    );
    this.outbox = new ReportOutbox(clock, {
      spreadReports: (reports, isFar) => world.spreadReports(reports, isFar),
      neighbourCount,
    });
    const events = { emit: () => {} };
    const placer = new Placer({
      ...{ clock, random, catalog, zone, knowledge: this.knowledge },
      work: new WorkEstimates(),
      slowdowns: new FullSlowdowns(),
      isConnected: () => true,
      coldShare: () => 1,
    });
    this.delivery = new Delivery({
      ...{ clock, random, events, placer, catalog, knowledge: this.knowledge },
      // The model transmits calls itself, so that nothing reads headers.
      protocol: {} as never,
      crashes: new CrashGuard(
        clock,
        new CrashTable(clock),
        events,
        { tellCrash: () => {} },
        () => false,
      ),
      retryBounds: { ratio: 0.2, slack: 60, windowMs: 10_000 },
      hostCount: () => world.hostCount,
      onReport: (report) => this.learn(report),
      onSuddenClose: () => {},
      counters: {
        attempt: () => {},
        repeat: () => {},
        connection: () => {},
        attemptTime: () => {},
      },
      transmit: (call, target, observer) => this.transmit(call, target, observer),
    });
  }

  /** Runs a call to its end. */
  run(call: IncomingCall): Promise<CallEnd> {
    return new CallRun(this.delivery, call).run();
  }

  /** Sends a call to the one of two random targets that holds fewer calls of this host, and no more. */
  runNaive(call: IncomingCall): Promise<CallEnd> {
    const { random, catalog, clock } = this.world;
    const targets = catalog().targetsByService.get(call.service)!;
    const pair = [0, 1].map(() => targets[random.integer(targets.length)]!.id);
    const own = (id: string) => this.knowledge.get(id)!.ownInFlight;
    const chosen = own(pair[0]!) <= own(pair[1]!) ? pair[0]! : pair[1]!;
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

  /** Takes what this host saw, and tells the others. */
  learn(report: TargetReport): void {
    this.knowledge.take(report);
    this.outbox.add(report);
  }

  private transmit(call: IncomingCall, target: Target, observer: AttemptObserver): RunningAttempt {
    const { clock } = this.world;
    const model = this.world.targets.get(target.id)!;
    const wayMs = this.world.distance(this.zone, target.zone);
    const attempt: ModelAttempt = new ModelAttempt(call, target, {
      ...{ clock, model, wayMs, workMs: this.world.workOf(call) },
      onEnd: (kind) => {
        if (kind !== 'reset' && kind !== 'aborted') {
          observer.onHead(attempt, this.head(model, call, kind));
        }
        observer.onEnd(attempt, this.result(model, call, kind));
      },
    });
    return attempt;
  }

  private head(
    model: ModelTarget,
    call: IncomingCall,
    kind: Exclude<ModelEnd, 'aborted'>,
  ): AnswerHead {
    const status = { done: 200, failed: 500, refused: 503, reset: 0 }[kind];
    const facts = {
      ...{ callId: call.id, isSigned: true, saysNotRun: kind === 'refused', coldLeft: null },
      ...{ load: { ...model.load(), pace: model.pace() }, target: model.target.id },
    };
    return { status, headers: NO_HEADERS, facts };
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
