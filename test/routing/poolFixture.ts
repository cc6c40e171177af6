import { flush } from '../../soak/flush';
import { SimulatedFleet } from '../../soak/simulatedFleet';
import {
  SIMULATED_SERVICE,
  simulatedSheet,
  type SimulatedSheetParts,
} from '../../soak/simulatedSheet';
import {
  type AttemptResult,
  type CallTraits,
  type PolicyName,
  Router,
  type Slot,
  type TargetSignals,
} from '../../src/routing';
import { ManualClock, SeededRandom } from '../../src/runtime';

const NO_SIGNALS: TargetSignals = { instance: null, draining: false, utilization: null };

/** Traits of an idempotent call with a deadline of 1000 ms. */
export function callTraits(traits: Partial<CallTraits> = {}): CallTraits {
  return {
    callId: '',
    service: SIMULATED_SERVICE,
    class: 'standard',
    idempotent: true,
    deadline: 1000,
    suspect: null,
    avoid: new Set(),
    ...traits,
  };
}

/** A router of one host that runs on simulated time. */
export class PoolFixture {
  readonly clock = new ManualClock();

  readonly fleet: SimulatedFleet;

  readonly router: Router;

  constructor(parts: Partial<SimulatedSheetParts> = {}, policy: PolicyName = 'owner') {
    const sheet = simulatedSheet({
      targets: 1,
      slots: 3,
      coldLimit: 3,
      coldMs: 0,
      rain: false,
      hosts: 2,
      ...parts,
    });
    this.fleet = new SimulatedFleet('host-1', sheet);
    this.router = new Router(this.fleet, this.clock, new SeededRandom(7), policy);
  }

  traits(traits: Partial<CallTraits> = {}): CallTraits {
    return callTraits({ deadline: this.clock.now() + 1000, ...traits });
  }

  /** The slot that a call gets at once, the reason for its refusal, or 'waits'. */
  async ask(traits: Partial<CallTraits> = {}): Promise<Slot | string> {
    let outcome: Slot | string = 'waits';
    void this.router
      .pool(SIMULATED_SERVICE)
      .acquire(this.traits(traits))
      .then((result) => {
        outcome = result.ok ? result.val : result.val.reason;
      });
    await flush();
    return outcome;
  }

  /** A slot that is granted at once and whose call is marked as sent. */
  async send(traits: Partial<CallTraits> = {}): Promise<Slot> {
    const slot = await this.ask(traits);
    if (typeof slot === 'string') throw new Error(`no slot: ${slot}`);
    if (slot.maySend().err) throw new Error('the call must not be sent');
    return slot;
  }

  answer(slot: Slot, status = 200, signals: Partial<TargetSignals> = {}): void {
    slot.recordAnswerHead();
    this.end(slot, { kind: 'answered', status, signals: { ...NO_SIGNALS, ...signals } });
  }

  end(slot: Slot, result: AttemptResult): void {
    slot.finish(result);
  }

  /** Sends and answers `count` calls one after another, each taking `ms` milliseconds. */
  async serve(count: number, ms: number, traits: Partial<CallTraits> = {}): Promise<void> {
    for (let call = 0; call < count; call += 1) {
      const slot = await this.send(traits);
      this.clock.advanceBy(ms);
      this.answer(slot);
    }
  }

  limit(): number {
    return this.router.pool(SIMULATED_SERVICE).state().limit;
  }
}
