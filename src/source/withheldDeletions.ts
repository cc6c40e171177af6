import { type CatalogRecord } from '../catalog';
import { type Clock } from '../runtime';

import { type AnswerHistory } from './answerHistory';

// Entries that expired during an outage of the source are published again within 2 seconds of its
// return.
const REPUBLICATION_MS = 2300;
// Share of the time within which a removed target gets no more calls. The rest is left for the other
// hosts to learn of the deletion.
const WITHHOLDING_SHARE = 0.9;

interface WithheldDeletion {
  readonly record: CatalogRecord;
  /** Monotonic time of the answer before the one that had the deletion, so that it happened later. */
  readonly deletedAfter: number;
}

/** Dependencies of `WithheldDeletions`. */
export interface WithheldDeletionsParts {
  readonly clock: Clock;
  readonly answers: AnswerHistory;
  /** Time within which a removed target gets no more calls, in milliseconds. */
  readonly removalApplyMs: number;
}

/**
 * Deletions of targets whose entries may only have expired while the source was unavailable to them. Each is
 * withheld until the targets have published their entries again, and a deletion after the outage no longer
 * than a removed target may get calls.
 */
export class WithheldDeletions {
  private readonly deletions = new Map<string, WithheldDeletion>();

  private restoredAt = -Infinity;

  constructor(private readonly parts: WithheldDeletionsParts) {}

  /** Notes that the source was restored from an older copy, which may lack entries of running targets. */
  noteRestore(): void {
    this.restoredAt = this.parts.clock.now();
  }

  /** Whether the deletion of a key after the answer at this monotonic time may be an expiry. */
  isUncertain(key: string, deletedAfter: number): boolean {
    const earliest = Math.min(this.deletions.get(key)?.deletedAfter ?? Infinity, deletedAfter);
    return this.parts.clock.now() < this.deadlineOf(earliest);
  }

  /** Withholds a deletion; one that is withheld already keeps its deadline. */
  add(record: CatalogRecord, deletedAfter: number): void {
    const held = this.deletions.get(record.key);
    const earliest = Math.min(held?.deletedAfter ?? Infinity, deletedAfter);
    this.deletions.set(record.key, { record, deletedAfter: earliest });
  }

  /** Drops the deletion of a key that was written again. */
  remove(key: string): void {
    this.deletions.delete(key);
  }

  /** Drops all deletions. */
  clear(): void {
    this.deletions.clear();
  }

  /** Removes and returns the deletions that are due. */
  takeDue(): readonly CatalogRecord[] {
    const due = this.records().filter(({ key }) => !this.isUncertain(key, Infinity));
    for (const { key } of due) this.deletions.delete(key);
    return due;
  }

  /** Deletions that are withheld. */
  records(): readonly CatalogRecord[] {
    return [...this.deletions.values()].map(({ record }) => record);
  }

  /** Monotonic time at which the next deletion is due, Infinity without one. */
  nextDeadline(): number {
    const deadlines = [...this.deletions.values()].map(({ deletedAfter }) =>
      this.deadlineOf(deletedAfter),
    );
    return Math.min(Infinity, ...deadlines);
  }

  // The source was not available to the targets until the end of the outage, and a deletion before it confirms
  // nothing.
  private deadlineOf(deletedAfter: number): number {
    const { answers, removalApplyMs } = this.parts;
    const outageEnd = Math.max(answers.outageEnd(), this.restoredAt);
    const republishedBy = outageEnd + REPUBLICATION_MS;
    if (deletedAfter < outageEnd) return republishedBy;
    return Math.min(republishedBy, deletedAfter + removalApplyMs * WITHHOLDING_SHARE);
  }
}
