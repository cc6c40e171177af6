import { buildCatalog } from './buildCatalog';
import { type Catalog } from './catalog';
import { type CatalogChanges } from './catalogChanges';
import { type CatalogFact } from './catalogFact';
import { type CatalogRecord } from './catalogRecord';

// Deletions kept for hosts that ask for changes; a host that is further behind gets everything.
const LARGEST_DELETIONS = 2000;

/**
 * The newest record of each key. Revisions only rise, so that an old reading, a late message or
 * a returning host never takes the catalog back.
 */
export class Ledger {
  private readonly records = new Map<string, CatalogRecord>();

  /** Oldest revision from which changes can be told completely. */
  private horizon = 0;

  private current: Catalog = buildCatalog(0, [], null);

  private readonly listeners = new Set<(catalog: Catalog) => void>();

  /** The catalog in force. */
  catalog(): Catalog {
    return this.current;
  }

  /** Calls `listener` after each change, with the new catalog. */
  onChange(listener: (catalog: Catalog) => void): void {
    this.listeners.add(listener);
  }

  /** Takes newer records; returns those that were news. */
  apply(changes: CatalogChanges): readonly CatalogRecord[] {
    const news = changes.records.filter((record) => this.isNews(record));
    for (const record of news) this.records.set(record.key, this.withoutRegression(record));
    const dropped = changes.after === null ? this.dropMissing(changes) : 0;
    const builds = changes.after === null || changes.after <= this.current.asOf;
    const asOf = builds ? Math.max(this.current.asOf, changes.asOf) : this.current.asOf;
    if (news.length === 0 && dropped === 0 && asOf === this.current.asOf) return news;
    if (changes.after === null) this.horizon = Math.max(this.horizon, changes.asOf);
    if (news.length === 0 && dropped === 0) {
      this.current = Object.freeze({ ...this.current, asOf });
      return news;
    }
    this.pruneDeletions();
    this.current = buildCatalog(asOf, this.facts(), this.current);
    for (const listener of this.listeners) listener(this.current);
    return news;
  }

  /** Keys that hold a fact, with the revisions of their records. */
  presentKeys(): readonly CatalogRecord[] {
    return [...this.records.values()].filter((record) => record.fact !== null);
  }

  /** The fact under a key; null when there is none. */
  factOf(key: string): CatalogFact | null {
    return this.records.get(key)?.fact ?? null;
  }

  /** What a host that is complete up to `after` lacks; everything when that cannot be told. */
  changesAfter(after: number): CatalogChanges {
    const whole = after < this.horizon;
    const records = [...this.records.values()].filter((record) =>
      whole ? record.fact !== null : record.revision > after,
    );
    return { after: whole ? null : after, asOf: this.current.asOf, records };
  }

  private isNews(record: CatalogRecord): boolean {
    const held = this.records.get(record.key);
    return held === undefined
      ? record.fact !== null || record.revision > 0
      : record.revision > held.revision;
  }

  /** A configuration that is unreadable, deleted or of a lower version leaves the last in force. */
  private withoutRegression(record: CatalogRecord): CatalogRecord {
    const held = this.records.get(record.key)?.fact;
    if (held?.kind !== 'configuration') return record;
    const next = record.fact?.kind === 'configuration' ? record.fact.configuration : null;
    if (next !== null && next.version >= held.configuration.version) return record;
    return { ...record, fact: held };
  }

  private dropMissing(changes: CatalogChanges): number {
    const present = new Set(changes.records.map((record) => record.key));
    let dropped = 0;
    for (const [key, record] of this.records) {
      const isOld = record.revision <= changes.asOf && record.fact !== null;
      if (!isOld || present.has(key) || record.fact.kind === 'configuration') continue;
      this.records.set(key, { key, revision: changes.asOf, fact: null });
      dropped += 1;
    }
    return dropped;
  }

  private pruneDeletions(): void {
    const deletions = [...this.records.values()].filter((record) => record.fact === null);
    if (deletions.length <= LARGEST_DELETIONS) return;
    deletions.sort((left, right) => left.revision - right.revision);
    for (const record of deletions.slice(0, deletions.length - LARGEST_DELETIONS)) {
      this.records.delete(record.key);
      this.horizon = Math.max(this.horizon, record.revision);
    }
  }

  private *facts(): Iterable<CatalogFact> {
    for (const record of this.records.values()) if (record.fact !== null) yield record.fact;
  }
}
