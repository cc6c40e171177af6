import { type AttemptResult, type CallTraits, Router, type Slot } from '../src/routing';
import { ManualClock, SeededRandom } from '../src/runtime';
import { type Sheet } from '../src/sheet';

import { flush } from './flush';
import { type PoolReport } from './poolReport';
import { type PoolStep } from './poolStep';
import { SimulatedFleet } from './simulatedFleet';
import { SIMULATED_SERVICE, simulatedSheet, type SimulatedSheetParts } from './simulatedSheet';
import { SimulatedTarget } from './simulatedTarget';

const SERVICE_MS = 10;
const CALL_TIMEOUT_MS = 300;
const STEP_MS = 2;
const CONNECT_DELAY_RANGE_MS = 5;

/** One owner's pool with simulated targets; checks the invariants of the design from outside. */
export class PoolScenario {
  readonly clock = new ManualClock();

  readonly router: Router;

  private readonly sheet: Sheet;

  private readonly random: SeededRandom;

  private readonly fleet: SimulatedFleet;

  private readonly targets = new Map<string, SimulatedTarget>();

  private readonly ids: readonly string[];

  private readonly leavingTargets = new Set<string>();

  private readonly broken: string[] = [];

  private readonly suspectCounts = new Map<string, number>();

  private arrived = 0;

  private answered = 0;

  private notRun = 0;

  private failed = 0;

  constructor(parts: SimulatedSheetParts, seed: number) {
    this.sheet = simulatedSheet({ ...parts, hosts: 2 });
    this.ids = [...this.sheet.targets.keys()];
    this.fleet = new SimulatedFleet('host-1', this.sheet);
    this.router = new Router(this.fleet, this.clock, new SeededRandom(seed));
    this.random = new SeededRandom(seed + 1);
    for (const id of this.ids) {
      this.targets.set(id, new SimulatedTarget(this.clock, this.random, SERVICE_MS));
    }
  }

  async run(steps: readonly PoolStep[]): Promise<void> {
    for (const step of steps) {
      await this.apply(step);
      await flush();
    }
  }

  /** Ends all faults and lets the targets recover. */
  async heal(): Promise<void> {
    this.fleet.deadline = Number.POSITIVE_INFINITY;
    this.fleet.zonesOut.clear();
    this.fleet.ownerOf.clear();
    this.leavingTargets.clear();
    for (const target of this.targets.values()) {
      target.isStraggling = false;
      target.isFailingFast = false;
      target.isDraining = false;
      target.isUnreachable = false;
    }
    this.router.applyView(this.fleet.change());
    this.router.applyHostList(new Map());
    await this.advance(2 * CALL_TIMEOUT_MS);
    for (const id of this.ids) {
      this.router.applyProbe(id, { kind: 'ready', instance: null, utilization: null });
    }
  }

  report(): PoolReport {
    const { arrived, answered, notRun, failed, broken } = this;
    const unsettled = arrived - answered - notRun - failed;
    const { violations } = this.router.invariants;
    return { arrived, answered, notRun, failed, unsettled, violations, broken };
  }

  private async advance(ms: number): Promise<void> {
    const endMs = this.clock.now() + ms;
    while (this.clock.now() < endMs) {
      this.clock.advanceTo(Math.min(endMs, this.clock.now() + STEP_MS));
      await flush();
    }
  }

  private async apply(step: PoolStep): Promise<void> {
    switch (step.kind) {
      case 'arrive':
        for (let call = 0; call < step.count; call += 1) this.arrive(step.class, null);
        return;
      case 'arrive-suspect':
        for (let call = 0; call < 3; call += 1) this.arrive('standard', 'fingerprint');
        return;
      case 'advance':
        await this.advance(step.ms);
        return;
      case 'pause':
        // All timers that expired during the pause fire at once when the process resumes.
        this.clock.advanceBy(step.ms);
        return;
      case 'view-ends':
        this.fleet.deadline =
          this.fleet.deadline === Number.POSITIVE_INFINITY
            ? this.clock.now() + 5
            : Number.POSITIVE_INFINITY;
        return;
      case 'zone':
        this.toggle(this.fleet.zonesOut, `zone-${step.zone}`);
        this.router.applyView(this.fleet.change());
        return;
      default:
        this.toggleFault(step.kind, this.ids[step.target % this.ids.length]!);
    }
  }

  private toggleFault(
    kind: 'straggle' | 'fail-fast' | 'drain' | 'cut' | 'restart' | 'move' | 'list',
    id: string,
  ): void {
    const target = this.targets.get(id)!;
    const faults: Readonly<Record<typeof kind, () => void>> = {
      straggle: () => {
        target.isStraggling = !target.isStraggling;
      },
      'fail-fast': () => {
        target.isFailingFast = !target.isFailingFast;
      },
      drain: () => {
        target.isDraining = !target.isDraining;
      },
      cut: () => {
        target.isUnreachable = !target.isUnreachable;
      },
      restart: () => target.restart(),
      move: () => this.toggleOwner(id),
      list: () => this.toggleLeaving(id),
    };
    faults[kind]();
  }

  private toggleOwner(id: string): void {
    if (this.fleet.ownerOf.delete(id)) {
      this.fleet.usableFrom.set(id, this.clock.now() + 20);
      this.fleet.inherited.set(id, {
        callsInFlight: 1,
        reservedUntil: this.clock.now() + 100,
        limit: 2,
        coldUntil: 0,
        instance: '1',
      });
    } else this.fleet.ownerOf.set(id, 'host-2');
    this.router.applyView(this.fleet.change());
  }

  private toggleLeaving(id: string): void {
    this.toggle(this.leavingTargets, id);
    this.router.applyHostList(new Map([...this.leavingTargets].map((each) => [each, 'leaving'])));
  }

  private toggle(set: Set<string>, value: string): void {
    if (!set.delete(value)) set.add(value);
  }

  private arrive(priorityClass: string, suspect: string | null): void {
    this.arrived += 1;
    const call: CallTraits = {
      callId: String(this.arrived),
      service: SIMULATED_SERVICE,
      class: priorityClass,
      idempotent: this.arrived % 3 !== 0,
      deadline: this.clock.now() + CALL_TIMEOUT_MS,
      suspect,
      avoid: new Set(),
    };
    void this.acquireSlot(call);
  }

  private async acquireSlot(call: CallTraits): Promise<void> {
    const slot = await this.router.pool(call.service).acquire(call);
    if (slot.err) {
      this.notRun += 1;
      return;
    }
    // Opening a connection takes time, during which the state of the fleet can change.
    const leaveAt = this.clock.now() + this.random.integer(CONNECT_DELAY_RANGE_MS);
    this.clock.setTimer(leaveAt, () => this.sendIfAllowed(call, slot.val));
  }

  private sendIfAllowed(call: CallTraits, slot: Slot): void {
    if (slot.maySend().ok) {
      this.send(call, slot);
      return;
    }
    slot.finish({ kind: 'not-sent' });
    this.notRun += 1;
  }

  private send(call: CallTraits, slot: Slot): void {
    const id = slot.target.target;
    this.checkSend(call, slot);
    if (call.suspect !== null) this.suspectCounts.set(id, (this.suspectCounts.get(id) ?? 0) + 1);
    this.expect((this.suspectCounts.get(id) ?? 0) <= 1, `two suspects at ${id}`);
    this.targets.get(id)!.run(slot, (result) => {
      if (call.suspect !== null) this.suspectCounts.set(id, this.suspectCounts.get(id)! - 1);
      this.countResult(result);
    });
    const { inFlight } = this.targets.get(id)!;
    this.expect(inFlight <= slot.target.slots, `${inFlight} calls at ${id}`);
  }

  private countResult(result: AttemptResult): void {
    if (result.kind === 'answered' && result.status < 500) this.answered += 1;
    else this.failed += 1;
  }

  private checkSend(call: CallTraits, slot: Slot): void {
    const { target, zone } = slot.target;
    const now = this.clock.now();
    this.expect(now < this.fleet.deadline, `call past the view deadline`);
    this.expect(now < call.deadline, `call past its deadline`);
    this.expect(!this.fleet.zonesOut.has(zone), `call to ${target} in a zone out of service`);
    this.expect(!this.fleet.ownerOf.has(target), `call to ${target} of another owner`);
    this.expect(now >= (this.fleet.usableFrom.get(target) ?? 0), `${target} is not usable yet`);
    this.expect(!this.leavingTargets.has(target), `call to leaving ${target}`);
  }

  private expect(holds: boolean, rule: string): void {
    if (!holds) this.broken.push(`${rule} at ${this.clock.now()} ms`);
  }
}
