import { type Result } from 'ts-results';

import { type CatalogChanges, type CatalogRecord, type Ledger } from '../catalog';
import { type EventSink } from '../logging';
import { type Clock, type Random, waitUntil } from '../runtime';

import { type CatalogSource } from './catalogSource';
import { SOURCE_EVENTS } from './events';
import { type SourceError } from './sourceError';
import { type SourceState } from './sourceState';

// A silent connection is noticed this long plus the grace after the watch began; each zone has a
// reader of its own, so that a change reaches the hosts by another one meanwhile.
const WATCH_MS = 2500;
const WATCH_GRACE_MS = 350;
const READ_TIMEOUT_MS = 700;
// Changes that follow each other closely are read with one call.
const BATCH_MS = 350;
// Entries that expired while the source was away are back within two seconds of its return; until
// then a missing target that did not announce its leaving is kept.
const RETURN_MS = 2300;
const FIRST_RETRY_MS = 200;
const LONGEST_RETRY_MS = 2000;
// How often a host that need not read looks whether it must.
const IDLE_MS = 100;

/** What the reader needs of its host. */
export interface CatalogReaderParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly source: CatalogSource;
  readonly ledger: Ledger;
  readonly events: EventSink;
  /** Whether this host is the one that has to read at this moment. */
  readonly mustRead: () => boolean;
  /** Told of each set of changes, also of those that were not news here. */
  readonly onChanges: (changes: CatalogChanges, news: readonly CatalogRecord[]) => void;
  /** Told when `state` has changed. */
  readonly onState: () => void;
}

/** One task that keeps the ledger up to date from the source while this host has to read. */
export class CatalogReader {
  private currentState: SourceState = 'idle';

  private answeredAt = -Infinity;

  private failures = 0;

  private hasRead = false;

  private isClosed = false;

  /** Revision up to which the source was read; the ledger stays behind while changes are held. */
  private readUpTo = 0;

  /** Monotonic time until which missing targets may only have expired. */
  private doubtUntil = -Infinity;

  /** Deletions by key that are applied when nothing newer comes until `doubtUntil`. */
  private readonly held = new Map<string, CatalogRecord>();

  constructor(private readonly parts: CatalogReaderParts) {}

  /** What other hosts are told. */
  state(): SourceState {
    return this.currentState;
  }

  /** Monotonic time of the last answer of the source. */
  lastAnswer(): number {
    return this.answeredAt;
  }

  /** Runs until `close` is called. */
  async run(): Promise<void> {
    const { clock } = this.parts;
    while (!this.isClosed) {
      if (!this.parts.mustRead()) {
        this.enter('idle');
        await waitUntil(clock, clock.now() + IDLE_MS);
        continue;
      }
      const result = await this.readOnce();
      if (this.isClosed) return;
      if (result.ok) await this.accept(result.val);
      else await this.recover(result.val);
    }
  }

  /** Ends the task and gives up its request. */
  close(): void {
    this.isClosed = true;
    this.parts.source.close();
  }

  private readOnce(): Promise<Result<CatalogChanges, SourceError>> {
    const { clock, source, ledger } = this.parts;
    const now = clock.now();
    if (!this.hasRead) return source.readAll(now + READ_TIMEOUT_MS);
    const waitEnd = this.held.size > 0 ? Math.min(now + WATCH_MS, this.doubtUntil) : now + WATCH_MS;
    const after = Math.max(this.readUpTo, ledger.catalog().asOf);
    return source.watch(after, Math.max(waitEnd, now + 1), waitEnd + WATCH_GRACE_MS);
  }

  private async accept(changes: CatalogChanges): Promise<void> {
    const { clock, ledger } = this.parts;
    this.answeredAt = clock.now();
    this.hasRead = true;
    if (this.currentState !== 'reading') {
      this.parts.events.emit(SOURCE_EVENTS.regained, { asOf: changes.asOf });
    }
    if (this.failures > 0) this.doubtUntil = clock.now() + RETURN_MS;
    this.failures = 0;
    this.enter('reading');
    const sure = this.holdDoubtful(changes);
    const news = ledger.apply(sure);
    this.parts.onChanges(sure, news);
    if (changes.records.length > 0) await waitUntil(clock, clock.now() + BATCH_MS);
  }

  /** The changes without deletions that may be undone; those are held until the doubt has passed. */
  private holdDoubtful(changes: CatalogChanges): CatalogChanges {
    const { clock, ledger } = this.parts;
    this.readUpTo = changes.asOf;
    const isInDoubt = clock.now() < this.doubtUntil;
    const released = isInDoubt ? [] : [...this.held.values()];
    if (!isInDoubt) this.held.clear();
    const incoming = changes.after === null ? this.withMissing(changes) : changes.records;
    const sure: CatalogRecord[] = [];
    for (const record of incoming) {
      this.held.delete(record.key);
      if (isInDoubt && this.isUnannounced(record)) this.held.set(record.key, record);
      else sure.push(record);
    }
    const first = Math.min(...[...this.held.values()].map((record) => record.revision));
    // A ledger that lacks held records is not complete beyond the first of them.
    const asOf = this.held.size > 0 ? Math.min(changes.asOf, first - 1) : changes.asOf;
    const after = ledger.catalog().asOf;
    const records = [
      ...released.filter(({ key }) => !incoming.some((r) => r.key === key)),
      ...sure,
    ];
    return { after, asOf: Math.max(asOf, after), records };
  }

  private withMissing(changes: CatalogChanges): readonly CatalogRecord[] {
    const present = new Set(changes.records.map((record) => record.key));
    const missing = this.parts.ledger
      .presentKeys()
      .filter(({ key, revision }) => !present.has(key) && revision <= changes.asOf)
      .map(({ key }): CatalogRecord => ({ key, revision: changes.asOf, fact: null }));
    return [...changes.records, ...missing];
  }

  private isUnannounced(record: CatalogRecord): boolean {
    if (record.fact !== null) return false;
    const fact = this.parts.ledger.factOf(record.key);
    return fact?.kind === 'target' && fact.target.state === 'ready';
  }

  private async recover(error: SourceError): Promise<void> {
    const { clock, random, source } = this.parts;
    if (error.kind === 'forgotten') {
      this.hasRead = false;
      return;
    }
    if (this.currentState !== 'failing') {
      this.parts.events.emit(SOURCE_EVENTS.lost, { kind: error.kind, reason: error.message });
    }
    source.close();
    this.failures += 1;
    this.doubtUntil = Math.max(this.doubtUntil, clock.now() + RETURN_MS);
    this.enter('failing');
    const backoff = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** this.failures);
    await waitUntil(clock, clock.now() + backoff * (0.5 + random.next()));
  }

  private enter(state: SourceState): void {
    if (state === this.currentState) return;
    if (state === 'idle') this.parts.events.emit(SOURCE_EVENTS.stopped);
    this.currentState = state;
    this.parts.onState();
  }
}
