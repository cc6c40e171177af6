import { type CrashHistory } from '../knowledge';
import { type Clock } from '../runtime';

/** Number of crashes after which a call is refused by all hosts. */
export const CRASHES_TO_REFUSE = 3;

const CRASH_LIFETIME_MS = 10 * 60 * 1000;
const MAX_FINGERPRINTS = 5000;
// A call that is refused crashes no more targets, apart from those that run it already.
const MAX_CRASHES = 4 * CRASHES_TO_REFUSE;

interface CrashRecord {
  readonly crashes: ReadonlySet<string>;
  readonly cleared: ReadonlySet<string>;
  readonly expiresAt: number;
}

const EMPTY_RECORD: CrashRecord = { crashes: new Set(), cleared: new Set(), expiresAt: 0 };

function union(known: ReadonlySet<string>, added: readonly string[]): ReadonlySet<string> {
  return new Set([...known, ...added].slice(0, MAX_CRASHES));
}

function countedCrashes({ crashes, cleared }: CrashRecord): number {
  return [...crashes].filter((crash) => !cleared.has(crash)).length;
}

/**
 * Crashes reported by all hosts, by the fingerprint of the call. The histories of two hosts merge by
 * union, in any order and any number of times, so that a lost message is made good by a later one.
 */
export class CrashTable {
  private readonly records = new Map<string, CrashRecord>();

  private suspectCount = 0;

  constructor(private readonly clock: Clock) {}

  /** Whether no call is suspected, so that no call needs a digest. */
  isEmpty(): boolean {
    return this.suspectCount === 0;
  }

  /** Number of crashes of a fingerprint that have not expired. */
  count(fingerprint: string): number {
    const record = this.records.get(fingerprint);
    return record === undefined || record.expiresAt <= this.clock.now()
      ? 0
      : countedCrashes(record);
  }

  /** Records that a target crashed while it ran the call; `crash` is the same for all its calls. */
  record(fingerprint: string, crash: string): CrashHistory {
    this.apply({ fingerprint, crashes: [crash], cleared: [], leftMs: CRASH_LIFETIME_MS });
    return this.history(fingerprint);
  }

  /** Clears a call that was answered: its targets crashed for unrelated reasons. */
  clear(fingerprint: string): CrashHistory {
    const { crashes } = this.history(fingerprint);
    this.apply({ fingerprint, crashes: [], cleared: crashes, leftMs: CRASH_LIFETIME_MS });
    return this.history(fingerprint);
  }

  /** Adds what another host knows; returns whether any of it was news. */
  apply({ fingerprint, crashes, cleared, leftMs }: CrashHistory): boolean {
    this.removeExpired();
    const known = this.records.get(fingerprint) ?? EMPTY_RECORD;
    const record = {
      crashes: union(known.crashes, crashes),
      cleared: union(known.cleared, cleared),
    };
    const isUnchanged =
      record.crashes.size === known.crashes.size && record.cleared.size === known.cleared.size;
    // A history that tells nothing new doesn't extend the lifetime, which would never end otherwise.
    if (isUnchanged) return false;
    if (known === EMPTY_RECORD && this.records.size >= MAX_FINGERPRINTS) return false;
    const expiresAt = this.clock.now() + Math.min(leftMs, CRASH_LIFETIME_MS);
    this.records.set(fingerprint, {
      ...record,
      expiresAt: Math.max(known.expiresAt, expiresAt),
    });
    this.countSuspects();
    return true;
  }

  /** All histories, to be sent to another host. */
  histories(): readonly CrashHistory[] {
    this.removeExpired();
    return [...this.records.keys()].map((fingerprint) => this.history(fingerprint));
  }

  private history(fingerprint: string): CrashHistory {
    const { crashes, cleared, expiresAt } = this.records.get(fingerprint) ?? EMPTY_RECORD;
    const leftMs = Math.max(0, Math.round(expiresAt - this.clock.now()));
    return { fingerprint, crashes: [...crashes], cleared: [...cleared], leftMs };
  }

  private removeExpired(): void {
    const now = this.clock.now();
    const sizeBefore = this.records.size;
    for (const [fingerprint, { expiresAt }] of this.records)
      if (expiresAt <= now) this.records.delete(fingerprint);
    if (this.records.size !== sizeBefore) this.countSuspects();
  }

  private countSuspects(): void {
    this.suspectCount = [...this.records.values()].filter(
      (record) => countedCrashes(record) > 0,
    ).length;
  }
}
