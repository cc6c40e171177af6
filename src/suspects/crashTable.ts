import { type Clock } from '../runtime';

/** Targets that a call kills before it is refused everywhere. */
export const CRASHES_TO_REFUSE = 3;

const REMEMBERED_MS = 10 * 60 * 1000;
const MOST_REMEMBERED = 5000;

interface CrashRecord {
  /** Ids of the calls during which a target died. */
  readonly calls: Set<string>;
  forgetAt: number;
}

/** Crashes by the fingerprint of the call, told by all hosts. */
export class CrashTable {
  private readonly records = new Map<string, CrashRecord>();

  constructor(private readonly clock: Clock) {}

  /** True when nothing is remembered, so that no call needs a digest. */
  isEmpty(): boolean {
    return this.records.size === 0;
  }

  /** Crashes that are remembered for a fingerprint. */
  count(fingerprint: string): number {
    const record = this.records.get(fingerprint);
    if (record === undefined || record.forgetAt <= this.clock.now()) return 0;
    return record.calls.size;
  }

  /** Notes that a target died while it ran the call; one call counts once for one target. */
  note(fingerprint: string, callAndTarget: string): void {
    this.forgetOld();
    const record = this.records.get(fingerprint) ?? { calls: new Set<string>(), forgetAt: 0 };
    record.calls.add(callAndTarget);
    record.forgetAt = this.clock.now() + REMEMBERED_MS;
    this.records.delete(fingerprint);
    if (this.records.size < MOST_REMEMBERED) this.records.set(fingerprint, record);
  }

  /** Forgets a call that ended well: its targets died for their own reasons. */
  clear(fingerprint: string): void {
    this.records.delete(fingerprint);
  }

  private forgetOld(): void {
    const now = this.clock.now();
    for (const [fingerprint, record] of this.records) {
      if (record.forgetAt > now) return;
      this.records.delete(fingerprint);
    }
  }
}
