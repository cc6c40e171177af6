import { type Clock, EarliestTimer } from '../runtime';

import { type FlightCounts } from './flightCounts';
import { identityKey } from './identityKey';
import { isLargeZone } from './largeZone';

// Hosts that choose within these times of each other do not see each other's calls. A call that leaves
// few slots free is told at once, since the next one there would wait; others, and ends of calls, are
// told in larger batches, as a freed slot is first for the calls that wait at the host that freed it.
const URGENT_NEAR_MS = 1;
const URGENT_FAR_MS = 2;
// The more slots a target has left, the later its next call matters to the others. In the model of the
// fleet 20 and 50 ms for all cost up to 0.01 of the worst two seconds where targets have six slots, and
// save 30% of the datagrams.
const NEAR_BATCH_MS_A_SLOT = 4;
const FAR_BATCH_MS_A_SLOT = 10;
const MOST_NEAR_BATCH_MS = 20;
const MOST_FAR_BATCH_MS = 50;
// Each neighbour beyond this stretches the time for the zone, so that a host's datagrams do not grow
// with its zone.
const REFERENCE_NEIGHBOURS = 6;
// Lost datagrams are made good by the next change or by this repetition.
const REPEAT_MS = 500;

/** Where counts of calls in flight go. */
export interface FlightSink {
  spreadFlights(counts: readonly FlightCounts[], isFar: boolean): void;
  neighbourCount(): number;
}

/** Batches changes of this host's calls in flight, and what other zones say of theirs. */
export class FlightOutbox {
  private readonly own = new Map<number, { calls: number; toldAt: number }>();

  private readonly near = new Set<number>();

  private readonly far = new Set<number>();

  private readonly passed = new Map<number, FlightCounts>();

  private readonly nearTimer: EarliestTimer;

  private readonly farTimer: EarliestTimer;

  private readonly hostKey: number;

  private sequence = 0;

  constructor(
    private readonly clock: Clock,
    hostId: string,
    private readonly sink: FlightSink,
  ) {
    this.hostKey = identityKey(hostId);
    this.nearTimer = new EarliestTimer(clock, () => this.tellZone());
    this.farTimer = new EarliestTimer(clock, () =>
      this.sink.spreadFlights([this.takeOwn(this.far)], true),
    );
  }

  /**
   * Queues the number of calls that this host now has in flight at the target with this key, which has `room` slots
   * left; `isUrgent` when a call has just taken one of the last.
   */
  note(target: number, calls: number, room: number, isUrgent: boolean): void {
    if (this.isLargeZone()) return;
    this.own.set(target, { calls, toldAt: this.clock.now() });
    this.near.add(target);
    this.far.add(target);
    this.schedule(room, isUrgent);
  }

  /** Queues counts of another zone's host for this zone, unless it is too large. */
  passOn(counts: readonly FlightCounts[]): void {
    if (this.isLargeZone()) return;
    for (const { host, sequence, calls } of counts) {
      const waiting = this.passed.get(host);
      const merged = new Map([...(waiting?.calls ?? []), ...calls]);
      this.passed.set(host, { host, sequence, calls: merged });
    }
    this.nearTimer.setBy(this.clock.now() + URGENT_NEAR_MS * this.stretch());
  }

  /** Repeats what is in flight, so that other hosts keep it; called regularly. */
  turn(): void {
    const now = this.clock.now();
    for (const [target, { calls, toldAt }] of this.own) {
      if (calls > 0 && now - toldAt >= REPEAT_MS) this.note(target, calls, Infinity, false);
      else if (calls === 0 && now - toldAt >= 2 * REPEAT_MS) this.own.delete(target);
    }
  }

  private schedule(room: number, isUrgent: boolean): void {
    const now = this.clock.now();
    const slots = Math.max(1, room);
    const nearMs = Math.min(NEAR_BATCH_MS_A_SLOT * slots, MOST_NEAR_BATCH_MS);
    const farMs = Math.min(FAR_BATCH_MS_A_SLOT * slots, MOST_FAR_BATCH_MS);
    this.nearTimer.setBy(now + (isUrgent ? URGENT_NEAR_MS : nearMs) * this.stretch());
    this.farTimer.setBy(now + (isUrgent ? URGENT_FAR_MS : farMs));
  }

  private isLargeZone(): boolean {
    return isLargeZone(this.sink.neighbourCount());
  }

  private stretch(): number {
    return Math.max(1, this.sink.neighbourCount() / REFERENCE_NEIGHBOURS);
  }

  private tellZone(): void {
    const counts = [...this.passed.values()];
    this.passed.clear();
    if (this.near.size > 0) counts.push(this.takeOwn(this.near));
    this.sink.spreadFlights(counts, false);
  }

  private takeOwn(targets: Set<number>): FlightCounts {
    this.sequence += 1;
    const calls = new Map([...targets].map((target) => [target, this.own.get(target)?.calls ?? 0]));
    targets.clear();
    return { host: this.hostKey, sequence: this.sequence, calls };
  }
}
