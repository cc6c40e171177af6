import { type Clock, type Timer } from '../runtime';

import { type FlightCounts } from './flightCounts';

// Calls that are placed within this time do not see each other; a target of three slots takes one
// every 40 ms at its full load. Each neighbour beyond REFERENCE_NEIGHBOURS stretches it, so that a
// host's datagrams do not grow with its zone.
const NEAR_BATCH_MS = 4;
const FAR_BATCH_MS = 10;
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
  private readonly own = new Map<string, { calls: number; toldAt: number }>();

  private readonly near = new Set<string>();

  private readonly far = new Set<string>();

  private readonly passed = new Map<string, FlightCounts>();

  private nearTimer: Timer | null = null;

  private farTimer: Timer | null = null;

  private sequence = 0;

  constructor(
    private readonly clock: Clock,
    private readonly hostId: string,
    private readonly sink: FlightSink,
  ) {}

  /** Queues the number of calls that this host now has in flight at a target. */
  note(target: string, calls: number): void {
    this.own.set(target, { calls, toldAt: this.clock.now() });
    this.near.add(target);
    this.far.add(target);
    this.schedule();
  }

  /** Queues counts of another zone's host for this zone. */
  passOn(counts: readonly FlightCounts[]): void {
    for (const { host, sequence, calls } of counts) {
      const waiting = this.passed.get(host);
      const merged = new Map([...(waiting?.calls ?? []), ...calls]);
      this.passed.set(host, { host, sequence, calls: merged });
    }
    this.scheduleNear();
  }

  /** Repeats what is in flight, so that other hosts keep it; called regularly. */
  turn(): void {
    const now = this.clock.now();
    for (const [target, { calls, toldAt }] of this.own) {
      if (calls > 0 && now - toldAt >= REPEAT_MS) this.note(target, calls);
      else if (calls === 0 && now - toldAt >= 2 * REPEAT_MS) this.own.delete(target);
    }
  }

  private schedule(): void {
    this.scheduleNear();
    this.farTimer ??= this.clock.setTimer(this.clock.now() + FAR_BATCH_MS, () => {
      this.farTimer = null;
      this.sink.spreadFlights([this.takeOwn(this.far)], true);
    });
  }

  private scheduleNear(): void {
    const stretch = Math.max(1, this.sink.neighbourCount() / REFERENCE_NEIGHBOURS);
    this.nearTimer ??= this.clock.setTimer(this.clock.now() + NEAR_BATCH_MS * stretch, () => {
      this.nearTimer = null;
      const counts = [...this.passed.values()];
      this.passed.clear();
      if (this.near.size > 0) counts.push(this.takeOwn(this.near));
      this.sink.spreadFlights(counts, false);
    });
  }

  private takeOwn(targets: Set<string>): FlightCounts {
    this.sequence += 1;
    const calls = new Map([...targets].map((target) => [target, this.own.get(target)?.calls ?? 0]));
    targets.clear();
    return { host: this.hostId, sequence: this.sequence, calls };
  }
}
