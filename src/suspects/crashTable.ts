import { type Clock } from '../runtime';

/** Number of crashes after which a call is refused by all hosts. */
export const CRASHES_TO_REFUSE = 3;

const CRASH_LIFETIME_MS = 10 * 60 * 1000;
const MAX_FINGERPRINTS = 5000;

interface CrashRecord {
  /** Ids of the crashes. */
  readonly crashes: Set<string>;
  expiresAt: number;
}

/** Crashes reported by all hosts, by the fingerprint of the call. */
export class CrashTable {
  private readonly records = new Map<string, CrashRecord>();

  constructor(private readonly clock: Clock) {}

  /** Whether there are no entries, so that no call needs a digest. */
  isEmpty(): boolean {
    return this.records.size === 0;
  }

  /** Number of crashes of a fingerprint that have not expired. */
  count(fingerprint: string): number {
    const record = this.records.get(fingerprint);
    if (record === undefined || record.expiresAt <= this.clock.now()) return 0;
    return record.crashes.size;
  }

  /** Records that a target crashed while it ran the call; `crash` is the same for all its calls. */
  record(fingerprint: string, crash: string): void {
    this.removeExpired();
    const record = this.records.get(fingerprint) ?? {
      crashes: new Set<string>(),
      expiresAt: 0,
    };
    record.crashes.add(crash);
    record.expiresAt = this.clock.now() + CRASH_LIFETIME_MS;
    this.records.delete(fingerprint);
    if (this.records.size < MAX_FINGERPRINTS) this.records.set(fingerprint, record);
  }

  /** Removes a call that succeeded: its targets crashed for unrelated reasons. */
  clear(fingerprint: string): void {
    this.records.delete(fingerprint);
  }

  private removeExpired(): void {
    const now = this.clock.now();
    for (const [fingerprint, record] of this.records) {
      if (record.expiresAt > now) return;
      this.records.delete(fingerprint);
    }
  }
}
