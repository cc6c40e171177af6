import { type Result } from 'ts-results';

import { type CatalogChanges, type CatalogRecord, eraOf, type Ledger } from '../catalog';
import { type EventSink } from '../logging';
import { type Clock, type Random, waitUntil } from '../runtime';

import { type CatalogSource } from './catalogSource';
import { SOURCE_EVENTS } from './events';
import { type SourceError } from './sourceError';
import { type SourceState } from './sourceState';

// A dead connection is detected WATCH_DURATION_MS + WATCH_GRACE_MS after the watch began. Each zone
// has its own reader, so meanwhile changes arrive from the readers of other zones.
const WATCH_DURATION_MS = 2500;
const WATCH_GRACE_MS = 350;
const READ_TIMEOUT_MS = 700;
// Changes that follow each other within this time are read with one request.
const BATCH_DELAY_MS = 350;
// Entries that expired during an outage of the source are published again within 2 seconds of its
// recovery. Until then, a missing target that did not announce its leaving is kept.
const EXPIRY_GRACE_MS = 2300;
const BASE_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2000;
// Interval at which a host that does not read rechecks whether it must.
const IDLE_RECHECK_MS = 100;

/** Dependencies and callbacks of `CatalogReader`. */
export interface CatalogReaderParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly source: CatalogSource;
  readonly ledger: Ledger;
  readonly events: EventSink;
  /** Whether this host currently has to read the source. */
  readonly mustRead: () => boolean;
  /** Called with each set of changes; `newerRecords` are those new to the ledger. */
  readonly onChanges: (changes: CatalogChanges, newerRecords: readonly CatalogRecord[]) => void;
  /**
   * Called when a request begins; the result is called once its answer was applied. Between the two
   * the catalog was read as it was then.
   */
  readonly onRequest?: () => (changes: CatalogChanges) => void;
  /** Called when `state` has changed. */
  readonly onStateChange: () => void;
}

/** Task that keeps the ledger up to date from the source while this host has to read it. */
export class CatalogReader {
  private currentState: SourceState = 'idle';

  private answeredAt = -Infinity;

  private consecutiveFailures = 0;

  private hasRead = false;

  private isClosed = false;

  /**
   * Revision up to which the source was read; the ledger is behind it while deletions are withheld.
   */
  private readRevision = 0;

  /** Monotonic time until which a missing target may have expired although it is still running. */
  private expiryGraceUntil = -Infinity;

  /** Newest era of the source for whose first whole read the grace period was begun. */
  private graceEra = 0;

  /** Whether targets were missing in a whole read, but may only have expired. */
  private mustReadAllAgain = false;

  /** Deletions by key, applied unless a newer record arrives before `expiryGraceUntil`. */
  private readonly withheldDeletions = new Map<string, CatalogRecord>();

  constructor(private readonly parts: CatalogReaderParts) {}

  /** Reading state, as sent to other hosts. */
  state(): SourceState {
    return this.currentState;
  }

  /** Monotonic time of the last successful answer of the source. */
  lastAnswerAt(): number {
    return this.answeredAt;
  }

  /** Runs until `close` is called; after an unexpected error it rejects and can be run again. */
  async run(): Promise<void> {
    try {
      await this.readUntilClosed();
    } catch (error) {
      this.giveUpReading();
      throw error;
    }
  }

  private async readUntilClosed(): Promise<void> {
    const { clock } = this.parts;
    while (!this.isClosed) {
      if (!this.parts.mustRead()) {
        this.stopReading();
        await waitUntil(clock, clock.now() + IDLE_RECHECK_MS);
        continue;
      }
      const onApplied = this.parts.onRequest?.();
      const result = await this.readOnce();
      if (this.isClosed) return;
      if (result.ok) await this.applyOrReport(result.val, onApplied);
      else await this.handleFailure(result.val);
    }
  }

  /** Stops the task and cancels its request. */
  close(): void {
    this.isClosed = true;
    this.parts.source.close();
  }

  // Other hosts read while this one does not, and it has to read all again: its last changes may not have
  // been applied.
  private giveUpReading(): void {
    this.hasRead = false;
    this.parts.source.close();
    this.setState('failing');
  }

  // Another host may have read on meanwhile without the deletions that this one withholds.
  private stopReading(): void {
    this.setState('idle');
    this.hasRead = false;
    this.mustReadAllAgain = false;
    this.withheldDeletions.clear();
  }

  private readOnce(): Promise<Result<CatalogChanges, SourceError>> {
    const { clock, source, ledger } = this.parts;
    const now = clock.now();
    const isGraceOver = now >= this.expiryGraceUntil;
    if (!this.hasRead || (this.mustReadAllAgain && isGraceOver))
      return source.readAll(now + READ_TIMEOUT_MS);
    const isWithholding = this.withheldDeletions.size > 0 || this.mustReadAllAgain;
    const watchUntil = isWithholding
      ? Math.min(now + WATCH_DURATION_MS, this.expiryGraceUntil)
      : now + WATCH_DURATION_MS;
    const after = Math.max(this.readRevision, ledger.catalog().asOf);
    return source.watch(after, Math.max(watchUntil, now + 1), watchUntil + WATCH_GRACE_MS);
  }

  // An unexpected error while changes are applied must not end the task for good.
  private async applyOrReport(
    changes: CatalogChanges,
    onApplied: ((applied: CatalogChanges) => void) | undefined,
  ): Promise<void> {
    try {
      await this.applyChanges(changes, onApplied);
    } catch (error) {
      // The revision was noted as read, but its records may not have been applied.
      this.hasRead = false;
      await this.handleFailure({ kind: 'unreadable', message: String(error) });
    }
  }

  private async applyChanges(
    changes: CatalogChanges,
    onApplied: ((applied: CatalogChanges) => void) | undefined,
  ): Promise<void> {
    const { clock, ledger } = this.parts;
    this.answeredAt = clock.now();
    this.hasRead = true;
    if (this.currentState !== 'reading') {
      this.parts.events.emit(SOURCE_EVENTS.regained, { asOf: changes.asOf });
    }
    if (this.consecutiveFailures > 0) this.expiryGraceUntil = clock.now() + EXPIRY_GRACE_MS;
    this.consecutiveFailures = 0;
    this.beginGraceOfNewEra(changes);
    this.setState('reading');
    const completeBefore = ledger.catalog().asOf;
    const newerRecords = ledger.apply(
      this.withholdUncertainDeletions(this.keepOlderDeletions(changes)),
    );
    onApplied?.(changes);
    // Includes records that were sent while deletions before them were withheld: a host that missed
    // one of those is not complete up to the new revision without it.
    this.parts.onChanges(ledger.changesAfter(completeBefore), newerRecords);
    if (changes.records.length > 0) await waitUntil(clock, clock.now() + BATCH_DELAY_MS);
  }

  // Another host may have read the restored source first, and this one may not have noticed the restore.
  private beginGraceOfNewEra({ after, asOf }: CatalogChanges): void {
    const era = eraOf(asOf);
    if (after !== null || era <= this.graceEra) return;
    this.graceEra = era;
    const { clock, ledger } = this.parts;
    if (ledger.presentKeys().some(({ revision }) => eraOf(revision) < era))
      this.expiryGraceUntil = clock.now() + EXPIRY_GRACE_MS;
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

  /**
   * Returns the changes without the deletions of targets that may only have expired; these are
   * withheld until the grace period ends.
   */
  private withholdUncertainDeletions(changes: CatalogChanges): CatalogChanges {
    this.readRevision = changes.asOf;
    if (this.parts.clock.now() >= this.expiryGraceUntil) return this.releaseDeletions(changes);
    return changes.after === null
      ? this.withholdMissing(changes)
      : this.withholdDeletions(changes.records, changes.asOf);
  }

  private releaseDeletions(changes: CatalogChanges): CatalogChanges {
    const released = [...this.withheldDeletions.values()];
    this.withheldDeletions.clear();
    if (released.length > 0)
      this.parts.events.emit(SOURCE_EVENTS.released, { keys: released.map(({ key }) => key) });
    if (changes.after === null) {
      this.mustReadAllAgain = false;
      return changes;
    }
    const { asOf: after } = this.parts.ledger.catalog();
    if (this.mustReadAllAgain) return { after, asOf: after, records: changes.records };
    const records = [
      ...released.filter(({ key }) => !changes.records.some((record) => record.key === key)),
      ...changes.records,
    ];
    return { after, asOf: Math.max(changes.asOf, after), records };
  }

  // A missing target was deleted at an unknown revision after the last complete one, so that the
  // catalog is not complete beyond that until it is read again without withholding anything.
  private withholdMissing(changes: CatalogChanges): CatalogChanges {
    const { ledger } = this.parts;
    const present = new Set(changes.records.map((record) => record.key));
    const missing = ledger
      .presentKeys()
      .filter(({ key, revision }) => !present.has(key) && revision <= changes.asOf)
      .map(({ key }): CatalogRecord => ({ key, revision: changes.asOf, fact: null }));
    this.mustReadAllAgain = missing.some((record) => this.isUnannouncedDeletion(record));
    return this.mustReadAllAgain
      ? this.withholdDeletions([...changes.records, ...missing], ledger.catalog().asOf)
      : changes;
  }

  /** Withholds deletions among records that are complete up to revision `completeUntil`. */
  private withholdDeletions(
    incoming: readonly CatalogRecord[],
    completeUntil: number,
  ): CatalogChanges {
    const records: CatalogRecord[] = [];
    for (const record of incoming) {
      this.withheldDeletions.delete(record.key);
      if (this.isUnannouncedDeletion(record)) this.withheldDeletions.set(record.key, record);
      else records.push(record);
    }
    if (this.withheldDeletions.size > 0)
      this.parts.events.emit(SOURCE_EVENTS.withheld, {
        keys: [...this.withheldDeletions.keys()],
        leftMs: Math.round(this.expiryGraceUntil - this.parts.clock.now()),
      });
    const { asOf: after } = this.parts.ledger.catalog();
    if (this.mustReadAllAgain) return { after, asOf: after, records };
    const withheldRevisions = [...this.withheldDeletions.values()].map(({ revision }) => revision);
    const asOf = Math.min(completeUntil, ...withheldRevisions.map((revision) => revision - 1));
    return { after, asOf: Math.max(asOf, after), records };
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

  private async handleFailure(error: SourceError): Promise<void> {
    const { clock, random, source } = this.parts;
    if (error.kind === 'forgotten') {
      this.hasRead = false;
      return;
    }
    if (error.kind === 'restored') {
      await this.readRestored(error.message);
      return;
    }
    if (this.currentState !== 'failing') {
      this.parts.events.emit(SOURCE_EVENTS.lost, { kind: error.kind, reason: error.message });
    }
    source.close();
    this.consecutiveFailures += 1;
    this.expiryGraceUntil = Math.max(this.expiryGraceUntil, clock.now() + EXPIRY_GRACE_MS);
    this.setState('failing');
    const backoffMs = Math.min(
      MAX_RETRY_DELAY_MS,
      BASE_RETRY_DELAY_MS * 2 ** this.consecutiveFailures,
    );
    await waitUntil(clock, clock.now() + backoffMs * (0.5 + random.next()));
  }

  // The state stays as it is, so that the neighbours don't begin to read as well. The whole read begins the grace
  // period of the new era.
  private async readRestored(reason: string): Promise<void> {
    const { clock, random, events } = this.parts;
    events.emit(SOURCE_EVENTS.restored, { reason });
    this.hasRead = false;
    this.mustReadAllAgain = false;
    this.withheldDeletions.clear();
    // The readers of all zones notice a restore at the same moment.
    await waitUntil(clock, clock.now() + BASE_RETRY_DELAY_MS * random.next());
  }

  private setState(state: SourceState): void {
    if (state === this.currentState) return;
    if (state === 'idle') this.parts.events.emit(SOURCE_EVENTS.stopped);
    this.currentState = state;
    this.parts.onStateChange();
  }
}
