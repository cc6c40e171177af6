import { type CatalogChanges, type CatalogRecord, eraOf, type Ledger } from '../catalog';
import { type EventSink } from '../logging';
import { type Clock } from '../runtime';

import { type AnswerHistory } from './answerHistory';
import { SOURCE_EVENTS } from './events';
import { WithheldDeletions } from './withheldDeletions';

/** Dependencies of `UncertainDeletions`. */
export interface UncertainDeletionsParts {
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly events: EventSink;
  readonly answers: AnswerHistory;
  /** Time within which a removed target gets no more calls, in milliseconds. */
  readonly removalApplyMs: number;
}

/** Takes the deletions of targets that may only have expired out of what was read, until they are certain. */
export class UncertainDeletions {
  /** Newest era of the source of which a whole read was applied. */
  private wholeReadEra = 0;

  /** Whether targets were missing in a whole read, but may only have expired. */
  private mustReadAllAgain = false;

  private readonly withheld: WithheldDeletions;

  constructor(private readonly parts: UncertainDeletionsParts) {
    this.withheld = new WithheldDeletions(parts);
  }

  /** Forgets all that is withheld, as another host reads or the source was restored. */
  clear(): void {
    this.mustReadAllAgain = false;
    this.withheld.clear();
  }

  /** Monotonic time at which the next deletion is due, Infinity without one. */
  nextDeadline(): number {
    return this.withheld.nextDeadline();
  }

  /** Whether the source has to be read as a whole, as a whole read lacked targets that are due now. */
  isRereadDue(): boolean {
    const deadline = this.nextDeadline();
    return this.mustReadAllAgain && (deadline === Infinity || this.parts.clock.now() >= deadline);
  }

  /**
   * Returns what was read without the deletions of targets that may only have expired, and with those that are
   * due. All deletions in it happened after the answer at `deletedAfter`.
   */
  filter(read: CatalogChanges, deletedAfter: number): CatalogChanges {
    this.noteNewEra(read);
    const changes = this.keepOlderDeletions(read);
    const filtered =
      changes.after === null
        ? this.withholdMissing(changes, deletedAfter)
        : this.withholdDeletions(changes.records, changes.asOf, deletedAfter);
    this.logWithheld();
    return filtered;
  }

  // Another host may have read the restored source first, and this one may not have noticed the restore.
  private noteNewEra({ after, asOf }: CatalogChanges): void {
    const era = eraOf(asOf);
    if (after !== null || era <= this.wholeReadEra) return;
    this.wholeReadEra = era;
    const { ledger } = this.parts;
    if (ledger.presentKeys().some(({ revision }) => eraOf(revision) < era))
      this.withheld.noteRestore();
  }

  /**
   * Keeps deletions of an older era in a whole read: the copy from which the source was restored may be older
   * than they are. A later write has a higher revision and is used.
   */
  private keepOlderDeletions(changes: CatalogChanges): CatalogChanges {
    if (changes.after !== null) return changes;
    const records = changes.records.map((record): CatalogRecord => {
      const deletedAt = this.parts.ledger.deletionOf(record.key);
      const isOlder = deletedAt !== null && eraOf(deletedAt) < eraOf(record.revision);
      return isOlder ? { key: record.key, revision: record.revision, fact: null } : record;
    });
    return { ...changes, records };
  }

  // A missing target was deleted at an unknown revision after the last complete one, so that the
  // catalog is not complete beyond that until it is read again without withholding anything.
  private withholdMissing(changes: CatalogChanges, deletedAfter: number): CatalogChanges {
    const { ledger } = this.parts;
    const present = new Set(changes.records.map((record) => record.key));
    const missing = ledger
      .presentKeys()
      .filter(({ key, revision }) => !present.has(key) && revision <= changes.asOf)
      .map(({ key }): CatalogRecord => ({ key, revision: changes.asOf, fact: null }));
    this.mustReadAllAgain = missing.some((record) => this.mayHaveExpired(record, deletedAfter));
    if (this.mustReadAllAgain) {
      const { asOf } = ledger.catalog();
      return this.withholdDeletions([...changes.records, ...missing], asOf, deletedAfter);
    }
    this.logReleased(this.withheld.records());
    this.withheld.clear();
    return changes;
  }

  /** Withholds deletions among records that are complete up to revision `completeUntil`. */
  private withholdDeletions(
    incoming: readonly CatalogRecord[],
    completeUntil: number,
    deletedAfter: number,
  ): CatalogChanges {
    const records: CatalogRecord[] = [];
    for (const record of incoming) {
      if (this.mayHaveExpired(record, deletedAfter)) this.withheld.add(record, deletedAfter);
      else {
        this.withheld.remove(record.key);
        records.push(record);
      }
    }
    const { asOf: after } = this.parts.ledger.catalog();
    // What a whole read lacks is released by the next whole read.
    if (this.mustReadAllAgain) return { after, asOf: after, records };
    const released = this.withheld.takeDue();
    this.logReleased(released);
    const revisions = this.withheld.records().map(({ revision }) => revision - 1);
    const asOf = Math.max(after, Math.min(completeUntil, ...revisions));
    return { after, asOf, records: [...released, ...records] };
  }

  private mayHaveExpired(record: CatalogRecord, deletedAfter: number): boolean {
    const { key } = record;
    return this.isUnannouncedDeletion(record) && this.withheld.isUncertain(key, deletedAfter);
  }

  private isUnannouncedDeletion(record: CatalogRecord): boolean {
    if (record.fact !== null) return false;
    const { ledger } = this.parts;
    const fact = ledger.factOf(record.key);
    // Operators write again what was lost, as targets do.
    if (fact?.kind === 'zoneOut')
      return eraOf(ledger.revisionOf(record.key) ?? 0) < eraOf(record.revision);
    return fact?.kind === 'target' && fact.target.state === 'ready';
  }

  private logReleased(released: readonly CatalogRecord[]): void {
    if (released.length === 0) return;
    this.parts.events.emit(SOURCE_EVENTS.released, { keys: released.map(({ key }) => key) });
  }

  private logWithheld(): void {
    const keys = this.withheld.records().map(({ key }) => key);
    if (keys.length === 0) return;
    const leftMs = Math.round(this.withheld.nextDeadline() - this.parts.clock.now());
    this.parts.events.emit(SOURCE_EVENTS.withheld, { keys, leftMs });
  }
}
