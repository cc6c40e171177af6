import { Err, Ok, type Result } from 'ts-results';

import {
  type CatalogChanges,
  type CatalogFact,
  type CatalogRecord,
  eraOf,
  joinRevision,
  sourceRevisionOf,
} from '../../src/catalog';
import { type ManualClock, waitUntil } from '../../src/runtime';
import { type CatalogSource, type SourceError } from '../../src/source';

const ANSWER_MS = 4;
// Shorter than the time limit of a request.
const SLOW_ANSWER_MS = 600;

/** How the source treats the requests of a host. */
export type SourceMode = 'answers' | 'refuses' | 'silent' | 'slow';

/** A published catalog in simulated time, with failures by host. */
export class SimulatedSource {
  /** How the source treats each host; all hosts are answered by default. */
  modeOf: (host: string) => SourceMode = () => 'answers';

  requests = 0;

  /** Those of the requests that only ask whether the configuration is the newest one. */
  confirmations = 0;

  /** Hosts that asked this. */
  readonly confirmers = new Set<string>();

  private revision = 0;

  /** Oldest revision after which changes can be watched. */
  private oldestWatchable = 0;

  private readonly records = new Map<string, CatalogRecord>();

  /** All that was ever published in the present history. */
  private history: CatalogRecord[] = [];

  /** Whole reads so far, by host. */
  readonly wholeReads = new Map<string, number>();

  private cuts = 0;

  private readonly waiting = new Set<() => void>();

  constructor(private readonly clock: ManualClock) {}

  /** Publishes or deletes the fact of a key. */
  publish(key: string, fact: CatalogFact | null): void {
    this.revision += 1;
    this.history.push({ key, revision: this.revision, fact });
    this.records.set(key, { key, revision: this.revision, fact });
    this.wakeWatches();
  }

  /** Revision of the last change. */
  newestRevision(): number {
    return this.revision;
  }

  /** Restores the state as of a revision in a new era; later revisions are assigned again. */
  restore(toRevision: number): void {
    const era = eraOf(this.revision) + 1;
    const kept = this.history.filter(({ revision }) => revision <= toRevision);
    this.history = kept.map((record) => ({
      ...record,
      revision: joinRevision(era, sourceRevisionOf(record.revision)),
    }));
    this.revision = joinRevision(era, sourceRevisionOf(toRevision));
    this.records.clear();
    for (const record of this.history) this.records.set(record.key, record);
    this.wakeWatches();
  }

  /** Closes the connections of the watches that wait. */
  cutWatches(): void {
    this.cuts += 1;
    this.wakeWatches();
  }

  /** Forgets the deletions so far: watches that ask for them get 'forgotten'. */
  forgetHistory(): void {
    this.oldestWatchable = this.revision;
    for (const [key, record] of this.records) if (record.fact === null) this.records.delete(key);
  }

  /** The connection of a host to this source. */
  connect(host: string): CatalogSource {
    let connection = new AbortController();
    return {
      readAll: (deadline) => {
        this.wholeReads.set(host, (this.wholeReads.get(host) ?? 0) + 1);
        return this.answer(host, deadline, connection.signal, () => ({
          after: null,
          asOf: this.revision,
          records: this.changedAfter(0).filter((record) => record.fact !== null),
        }));
      },
      watch: async (after, watchUntil, deadline) => {
        const cutsBefore = this.cuts;
        await this.changeAfter(after, watchUntil, connection.signal);
        if (this.cuts !== cutsBefore)
          return Err({ kind: 'unreachable', message: 'other side closed' });
        if (eraOf(after) < eraOf(this.revision))
          return Err({ kind: 'restored', message: 'a newer era' });
        if (after < this.oldestWatchable)
          return Err({ kind: 'forgotten', message: 'no history since this revision' });
        return this.answer(host, deadline, connection.signal, () => ({
          after,
          asOf: this.revision,
          records: this.changedAfter(after),
        }));
      },
      confirm: async (after, deadline) => {
        this.confirmations += 1;
        this.confirmers.add(host);
        if (eraOf(after) < eraOf(this.revision))
          return Err({ kind: 'restored', message: 'a newer era' });
        const answer = await this.answer(host, deadline, connection.signal, () => ({
          after,
          asOf: this.revision,
          records: this.changedAfter(after),
        }));
        return answer.map(({ asOf, records }) => ({
          asOf,
          records: records.filter(({ key }) => key === 'configuration'),
          newestChange: Math.max(0, ...records.map(({ revision }) => revision)),
        }));
      },
      close: () => {
        connection.abort();
        connection = new AbortController();
      },
    };
  }

  private wakeWatches(): void {
    for (const wake of this.waiting) wake();
    this.waiting.clear();
  }

  private changedAfter(after: number): readonly CatalogRecord[] {
    return [...this.records.values()].filter((record) => record.revision > after);
  }

  private changeAfter(after: number, until: number, signal: AbortSignal): Promise<void> {
    if (this.revision > after) return Promise.resolve();
    return new Promise((resolve) => {
      this.waiting.add(resolve);
      void waitUntil(this.clock, until, signal).then(resolve);
    });
  }

  private async answer(
    host: string,
    deadline: number,
    signal: AbortSignal,
    changes: () => CatalogChanges,
  ): Promise<Result<CatalogChanges, SourceError>> {
    this.requests += 1;
    if (this.modeOf(host) === 'silent') {
      await waitUntil(this.clock, deadline, signal);
      return Err({ kind: 'timeout', message: 'no answer' });
    }
    const answerMs = this.modeOf(host) === 'slow' ? SLOW_ANSWER_MS : ANSWER_MS;
    await waitUntil(this.clock, this.clock.now() + answerMs, signal);
    if (this.modeOf(host) === 'refuses') return Err({ kind: 'refused', message: 'status 503' });
    return Ok(changes());
  }
}
