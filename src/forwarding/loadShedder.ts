import { notRun, type NotRun } from '../outcomes';
import { type Clock, type Timer } from '../runtime';
import { type Sheet } from '../sheet';

const SAMPLE_INTERVAL_MS = 50;
// Weight of a new sample in the moving average; a single garbage collection is not overload.
const SMOOTHING = 0.25;
// Ten times the latency that a gateway may add to a call; a lower lag is normal operation.
const SHEDDING_LAG_MS = 20;
// A call takes about 20 KB with its connection, so these fit in a quarter of 256 MB.
const MAX_CALLS_HELD = 3000;
// Share of the calls that lower ranks may fill; the rest is reserved for the top rank.
const LOWER_RANK_SHARE = 0.75;

function rankOf(sheet: Sheet, priorityClass: string): number {
  const priority = sheet.priorities.get(priorityClass);
  if (priority === undefined) return Number.MAX_SAFE_INTEGER;
  return sheet.rain ? priority.rain_rank : priority.rank;
}

/** Sheds calls while this process is overloaded, those of the lowest classes first. */
export class LoadShedder {
  private smoothedLagMs = 0;

  private heldCalls = 0;

  private timer: Timer | null = null;

  private ranksSheet: Sheet | null = null;

  private ranks: readonly number[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly maxCallsHeld: number = MAX_CALLS_HELD,
  ) {}

  /** Samples the event-loop delay until `stop` is called. */
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

  /** Adds a sample of the event-loop delay. */
  sample(delayMs: number): void {
    this.smoothedLagMs += (Math.max(0, delayMs) - this.smoothedLagMs) * SMOOTHING;
  }

  /** Smoothed event-loop delay in milliseconds. */
  eventLoopDelay(): number {
    return this.smoothedLagMs;
  }

  /** Number of admitted calls that have not been released. */
  callsHeld(): number {
    return this.heldCalls;
  }

  /** Admits a call or returns a refusal; each admitted call must be released exactly once. */
  admit(sheet: Sheet, priorityClass: string): NotRun | null {
    const refusal = this.refusalFor(sheet, priorityClass);
    if (refusal === null) this.heldCalls += 1;
    return refusal;
  }

  release(): void {
    this.heldCalls -= 1;
  }

  private refusalFor(sheet: Sheet, priorityClass: string): NotRun | null {
    if (
      this.smoothedLagMs < SHEDDING_LAG_MS &&
      this.heldCalls < this.maxCallsHeld * LOWER_RANK_SHARE
    ) {
      return null;
    }
    const rank = rankOf(sheet, priorityClass);
    const topRank = this.sortedRanks(sheet)[0] ?? 0;
    if (this.heldCalls >= this.maxCallsHeld * (rank <= topRank ? 1 : LOWER_RANK_SHARE)) {
      return notRun('overloaded', 'this host holds too many calls');
    }
    if (rank <= topRank || rank < this.lowestRefusedRank(sheet)) return null;
    return notRun('overloaded', 'this host is short of processor time');
  }

  /** The threshold lag sheds the lowest rank; each doubling of the lag sheds one more. */
  private lowestRefusedRank(sheet: Sheet): number {
    if (this.smoothedLagMs < SHEDDING_LAG_MS) return Number.POSITIVE_INFINITY;
    const ranks = this.sortedRanks(sheet);
    const refusedRanks = 1 + Math.floor(Math.log2(this.smoothedLagMs / SHEDDING_LAG_MS));
    return ranks[Math.max(1, ranks.length - refusedRanks)] ?? Number.MAX_SAFE_INTEGER;
  }

  private sortedRanks(sheet: Sheet): readonly number[] {
    if (this.ranksSheet !== sheet) {
      const ranks = [...sheet.priorities.keys()].map((name) => rankOf(sheet, name));
      this.ranks = [...new Set(ranks)].sort((left, right) => left - right);
      this.ranksSheet = sheet;
    }
    return this.ranks;
  }
}
