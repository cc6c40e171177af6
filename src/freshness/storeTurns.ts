import { type Random } from '../runtime';

// About HOSTS_PER_TURN hosts of a zone confirm within TURN_MS when none of them has a proof; the
// others get the proof from these.
const HOSTS_PER_TURN = 2;
const TURN_MS = 500;
const DRAW_INTERVAL_MS = 100;
// While proofs stay away for longer, the store is rarely there, and fewer hosts try.
const FULL_RATE_MS = 5000;
const MIN_RATE = 1 / 4;

/** Whether a host that does not read the store for its zone confirms at the store itself. */
export class StoreTurns {
  private nextDrawAt = -Infinity;

  constructor(private readonly random: Random) {}

  /** Draws whether this host confirms now, for a proof that was missing for `missingMs`. */
  isDue(now: number, missingMs: number, zoneSize: number): boolean {
    if (now < this.nextDrawAt) return false;
    this.nextDrawAt = now + DRAW_INTERVAL_MS;
    const rate = Math.max(MIN_RATE, Math.min(1, FULL_RATE_MS / missingMs));
    return this.random.next() < (rate * HOSTS_PER_TURN * DRAW_INTERVAL_MS) / TURN_MS / zoneSize;
  }
}
