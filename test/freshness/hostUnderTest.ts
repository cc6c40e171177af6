import { Err, Ok, type Result } from 'ts-results';

import { Ledger } from '../../src/catalog';
import { type HostAddress, type KnownHost } from '../../src/exchange';
import { Freshness } from '../../src/freshness';
import { Supervisor } from '../../src/lifecycle';
import { type EventDefinition } from '../../src/logging';
import { SilentSink } from '../../src/metrics';
import { ManualClock, SeededRandom, SuspensionClock } from '../../src/runtime';
import { AnswerHistory, type Confirmation, type SourceError } from '../../src/source';

type Answer = Result<Confirmation, SourceError>;

const NEIGHBOUR: KnownHost = {
  ...{ id: 'host-2', zone: 'a', ip: '10.0.0.2', incarnation: 1, asOf: 1, newest: 1 },
  ...{ fingerprint: 0, source: 'reading', isLeaving: false, receivedAt: 0, isDirect: true },
};

/** The proofs of one host without a network; the test plays the store, a neighbour and the clocks. */
export class HostUnderTest {
  readonly clock = new ManualClock();

  /** What the time of day and the time since boot differ from the monotonic clock by. */
  timeOfDayStepMs = 0;

  sinceBootStepMs = 0;

  isReading = false;

  readonly ledger = new Ledger();

  readonly events: EventDefinition[] = [];

  /** Tokens of the requests to other hosts. */
  readonly tokens: number[] = [];

  /** Answers the calls to the store that wait, by their order. */
  readonly storeCalls: ((answer: Answer) => void)[] = [];

  readonly freshness: Freshness;

  constructor({ revocationMs = 5000, isStrict = true } = {}) {
    const { clock, ledger } = this;
    const tokens = (_hosts: readonly HostAddress[], token: number) => this.tokens.push(token);
    this.freshness = new Freshness({
      ...{ clock, ledger, isStrict, revocationMs, sendRequest: tokens },
      suspensionClock: new SuspensionClock(clock, {
        timeOfDay: () => clock.now() + this.timeOfDayStepMs,
        sinceBoot: () => clock.now() + this.sinceBootStepMs,
      }),
      random: new SeededRandom(1),
      tasks: new Supervisor(clock, () => {}),
      events: { emit: (event) => this.events.push(event) },
      metrics: new SilentSink(),
      self: { id: 'host-1', zone: 'a', ip: '10.0.0.1' },
      source: { confirm: () => this.callStore() },
      membership: { neighbours: () => [NEIGHBOUR], live: () => [NEIGHBOUR] },
      isReading: () => this.isReading,
      broadcastChanges: () => {},
      onOtherChange: () => {},
      answers: new AnswerHistory(2250),
      applyMs: 2000,
    });
    this.freshness.start();
  }

  /** The host learns of a configuration with tenants. */
  publish(revision: number, tenants: readonly never[] | null = []): void {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const configuration = { version: revision, routes: [], services: [], limits, tenants };
    const fact = { kind: 'configuration' as const, configuration };
    const records = [{ key: 'configuration', revision, fact }];
    this.ledger.apply({ after: null, asOf: revision, records });
  }

  /** The neighbour answers the last request. */
  respond(revision: number, ageMs: number, token = this.tokens.at(-1)!): void {
    this.freshness.receiveResponse({ kind: 'proofResponse', token, revision, ageMs }, NEIGHBOUR.ip);
  }

  /** The store answers a call, the last one by default. */
  async answerStore(asOf: number | null, call = this.storeCalls.length - 1): Promise<void> {
    const failed = Err({ kind: 'unreachable' as const, message: 'cut off' });
    this.storeCalls[call]!(asOf === null ? failed : Ok({ asOf, records: [], newestChange: 0 }));
    await new Promise(setImmediate);
  }

  mayUseKeys(): boolean {
    return this.freshness.mayUseKeys();
  }

  private callStore(): Promise<Answer> {
    return new Promise((resolve) => {
      this.storeCalls.push(resolve);
    });
  }
}
