import { v3 as murmurHash } from 'murmurhash';

import { buildCatalog } from './buildCatalog';
import { type Catalog } from './catalog';
import { type CatalogChanges } from './catalogChanges';
import { type CatalogFact } from './catalogFact';
import { type CatalogRecord } from './catalogRecord';
import { eraOf } from './eraRevision';

// Deletions kept to answer hosts that ask for changes; a host that is further behind gets the whole
// catalog.
const MAX_RETAINED_DELETIONS = 2000;
const HASH_RANGE = 2 ** 32;

/**
 * Keeps the newest record of each key. Revisions never decrease, so that a stale reading, a delayed
 * message or a restarted host cannot revert the catalog.
 */
export class Ledger {
  private readonly records = new Map<string, CatalogRecord>();

  /**
   * Oldest revision after which the changes are still complete; earlier deletions may be pruned.
   */
  private compactedRevision = 0;

  private newest = 0;

  private heldConfigurationRevision = 0;

  /** Cached fingerprint; null after a change. */
  private currentFingerprint: number | null = null;

  private current: Catalog = buildCatalog(0, [], null);

  /** Whether all listeners have been given the current records. */
  private isPublished = true;

  private readonly listeners = new Set<(catalog: Catalog) => void>();

  /** The current catalog. */
  catalog(): Catalog {
    return this.current;
  }

  /**
   * Highest revision known; above `asOf` of the catalog while records before it may be missing.
   */
  newestRevision(): number {
    return this.newest;
  }

  /** Revision at which the configuration was last written, 0 without one. */
  configurationRevision(): number {
    return this.heldConfigurationRevision;
  }

  /**
   * Sum of the hashes of the keys and revisions of the records above `asOf`, 0 without any. Hosts that are complete
   * up to the same revision hold the same records if their fingerprints are equal.
   */
  fingerprint(): number {
    this.currentFingerprint ??= this.computeFingerprint();
    return this.currentFingerprint;
  }

  /** Calls `listener` with the new catalog after each change of its records. */
  onChange(listener: (catalog: Catalog) => void): void {
    this.listeners.add(listener);
  }

  /**
   * Applies the records that are newer than those held, and returns them. Throws if a listener did; the
   * others have the new catalog then, and the next call gives it to all of them again.
   */
  apply(changes: CatalogChanges): readonly CatalogRecord[] {
    const newerRecords = changes.records.filter((record) => this.isNewer(record));
    for (const record of newerRecords) {
      const kept = this.keepLeaving(this.keepNewestConfiguration(record));
      this.records.set(record.key, kept);
      if (kept.fact?.kind === 'configuration') this.heldConfigurationRevision = kept.revision;
      this.newest = Math.max(this.newest, record.revision);
    }
    const droppedCount = changes.after === null ? this.dropMissing(changes) : 0;
    const isContiguous = changes.after === null || changes.after <= this.current.asOf;
    const asOf = isContiguous ? Math.max(this.current.asOf, changes.asOf) : this.current.asOf;
    this.newest = Math.max(this.newest, asOf);
    const isUnchanged = newerRecords.length === 0 && droppedCount === 0 && this.isPublished;
    if (isUnchanged && asOf === this.current.asOf) return newerRecords;
    this.currentFingerprint = null;
    if (changes.after === null)
      this.compactedRevision = Math.max(this.compactedRevision, changes.asOf);
    if (isUnchanged) {
      this.current = Object.freeze({ ...this.current, asOf });
      return newerRecords;
    }
    this.pruneDeletions();
    this.publish(asOf);
    return newerRecords;
  }

  /** Records of all keys that have a fact. */
  presentKeys(): readonly CatalogRecord[] {
    return [...this.records.values()].filter((record) => record.fact !== null);
  }

  /** The fact of a key; null when there is none. */
  factOf(key: string): CatalogFact | null {
    return this.records.get(key)?.fact ?? null;
  }

  /** Revision at which a key was last written or deleted; null without a record. */
  revisionOf(key: string): number | null {
    return this.records.get(key)?.revision ?? null;
  }

  /** Revision of the deletion of a key; null when the key has a fact or no record. */
  deletionOf(key: string): number | null {
    const record = this.records.get(key);
    return record?.fact === null ? record.revision : null;
  }

  /** Changes after revision `after`; the whole catalog when deletions since then were pruned. */
  changesAfter(after: number): CatalogChanges {
    const mustSendAll = after < this.compactedRevision;
    const records = [...this.records.values()].filter(
      (record) => record.revision > after || (mustSendAll && record.fact !== null),
    );
    return { after: mustSendAll ? null : after, asOf: this.current.asOf, records };
  }

  private publish(asOf: number): void {
    this.isPublished = false;
    this.current = buildCatalog(asOf, this.facts(), this.current);
    const errors: unknown[] = [];
    for (const listener of this.listeners) {
      try {
        listener(this.current);
      } catch (error) {
        errors.push(error);
      }
    }
    this.isPublished = errors.length === 0;
    if (!this.isPublished) throw new AggregateError(errors, errors.map(String).join('; '));
  }

  private computeFingerprint(): number {
    const { asOf } = this.current;
    if (this.newest === asOf) return 0;
    let sum = 0;
    for (const { key, revision } of this.records.values())
      if (revision > asOf) sum = (sum + murmurHash(`${key} ${revision}`)) % HASH_RANGE;
    return sum;
  }

  // A key without a record was deleted before `asOf`, or never written: an older record of it is
  // obsolete.
  private isNewer(record: CatalogRecord): boolean {
    return record.revision > (this.records.get(record.key)?.revision ?? this.current.asOf);
  }

  /**
   * Keeps the current configuration when the new one is unreadable, deleted or of a lower version.
   */
  private keepNewestConfiguration(record: CatalogRecord): CatalogRecord {
    const currentFact = this.records.get(record.key)?.fact;
    if (currentFact?.kind !== 'configuration') return record;
    const next = record.fact?.kind === 'configuration' ? record.fact.configuration : null;
    if (next !== null && next.version >= currentFact.configuration.version) return record;
    return { ...record, fact: currentFact };
  }

  /**
   * Keeps a target leaving when a copy of the source from before its leaving, restored in a newer era, has it
   * as ready for the same start.
   */
  private keepLeaving(record: CatalogRecord): CatalogRecord {
    const held = this.records.get(record.key);
    if (held?.fact?.kind !== 'target' || record.fact?.kind !== 'target') return record;
    const isReturn =
      eraOf(record.revision) > eraOf(held.revision) &&
      held.fact.target.state === 'leaving' &&
      record.fact.target.state === 'ready' &&
      held.fact.target.startedAt === record.fact.target.startedAt;
    return isReturn ? { ...record, fact: held.fact } : record;
  }

  private dropMissing(changes: CatalogChanges): number {
    const present = new Set(changes.records.map((record) => record.key));
    let droppedCount = 0;
    for (const [key, record] of this.records) {
      const mayBeMissing = record.revision <= changes.asOf && record.fact !== null;
      if (!mayBeMissing || present.has(key) || record.fact.kind === 'configuration') continue;
      this.records.set(key, { key, revision: changes.asOf, fact: null });
      droppedCount += 1;
    }
    return droppedCount;
  }

  private pruneDeletions(): void {
    const deletions = [...this.records.values()].filter((record) => record.fact === null);
    if (deletions.length <= MAX_RETAINED_DELETIONS) return;
    deletions.sort((left, right) => left.revision - right.revision);
    for (const record of deletions.slice(0, deletions.length - MAX_RETAINED_DELETIONS)) {
      this.records.delete(record.key);
      this.compactedRevision = Math.max(this.compactedRevision, record.revision);
    }
  }

  private *facts(): Iterable<CatalogFact> {
    for (const record of this.records.values()) if (record.fact !== null) yield record.fact;
  }
}
