import { notRun, type NotRun } from '../outcomes';
import { type Clock, type Timer } from '../runtime';
import { type Sheet } from '../sheet';

const SAMPLE_INTERVAL_MS = 50;
// A quarter of each new sample: one garbage collection does not count as overload.
const SMOOTHING = 0.25;
// Ten times the added time that a call may have; below it a gateway works normally.
const FIRST_LAG_MS = 20;
// A call in hand takes about 20 KB with its connection, so these fit in a quarter of 256 MB.
const LARGEST_CALLS_HELD = 3000;
// The rest of the places is kept for the top rank.
const SHARE_OF_LOWER_RANKS = 0.75;

function rankOf(sheet: Sheet, priorityClass: string): number {
  const priority = sheet.priorities.get(priorityClass);
  if (priority === undefined) return Number.MAX_SAFE_INTEGER;
  return sheet.rain ? priority.rain_rank : priority.rank;
}

/** Refuses calls when this process itself is overloaded, those of the lowest classes first. */
export class LoadGuard {
  private lag = 0;

  private held = 0;

  private timer: Timer | null = null;

  private ranksOf: Sheet | null = null;

  private ranks: readonly number[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly largestCallsHeld: number = LARGEST_CALLS_HELD,
  ) {}

  /** Starts to sample the event-loop delay, until `stop` is called. */
  start(): void {
    const at = this.clock.now() + SAMPLE_INTERVAL_MS;
    this.timer = this.clock.setTimer(at, () => {
      this.sample(this.clock.now() - at);
      this.start();
    });
  }

  stop(): void {
    this.timer?.cancel();
    this.timer = null;
  }

  /** Takes a measured delay of the event loop, in milliseconds. */
  sample(delay: number): void {
    this.lag += (Math.max(0, delay) - this.lag) * SMOOTHING;
  }

  /** Smoothed event-loop delay in milliseconds. */
  eventLoopDelay(): number {
    return this.lag;
  }

  /** Calls that this process holds. */
  callsHeld(): number {
    return this.held;
  }

  /** Takes a call in, or tells why not; `release` is called once for each call taken in. */
  admit(sheet: Sheet, priorityClass: string): NotRun | null {
    const refusal = this.check(sheet, priorityClass);
    if (refusal === null) this.held += 1;
    return refusal;
  }

  release(): void {
    this.held -= 1;
  }

  private check(sheet: Sheet, priorityClass: string): NotRun | null {
    if (this.lag < FIRST_LAG_MS && this.held < this.largestCallsHeld * SHARE_OF_LOWER_RANKS) {
      return null;
    }
    const rank = rankOf(sheet, priorityClass);
    const top = this.ranksIn(sheet)[0] ?? 0;
    if (this.held >= this.largestCallsHeld * (rank <= top ? 1 : SHARE_OF_LOWER_RANKS)) {
      return notRun('overloaded', 'this host holds too many calls');
    }
    if (rank <= top || rank < this.lowestRefused(sheet)) return null;
    return notRun('overloaded', 'this host is short of processor time');
  }

  /** The lag refuses the lowest rank first; each doubling of the lag refuses one more rank. */
  private lowestRefused(sheet: Sheet): number {
    if (this.lag < FIRST_LAG_MS) return Number.POSITIVE_INFINITY;
    const ranks = this.ranksIn(sheet);
    const refused = 1 + Math.floor(Math.log2(this.lag / FIRST_LAG_MS));
    return ranks[Math.max(1, ranks.length - refused)] ?? Number.MAX_SAFE_INTEGER;
  }

  private ranksIn(sheet: Sheet): readonly number[] {
    if (this.ranksOf !== sheet) {
      const ranks = [...sheet.priorities.keys()].map((name) => rankOf(sheet, name));
      this.ranks = [...new Set(ranks)].sort((left, right) => left - right);
      this.ranksOf = sheet;
    }
    return this.ranks;
  }
}
