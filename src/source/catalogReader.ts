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
    const waitEnd = now + WATCH_MS;
    return source.watch(ledger.catalog().asOf, waitEnd, waitEnd + WATCH_GRACE_MS);
  }

  private async accept(changes: CatalogChanges): Promise<void> {
    const { clock, ledger } = this.parts;
    this.answeredAt = clock.now();
    this.hasRead = true;
    if (this.currentState !== 'reading') {
      this.parts.events.emit(SOURCE_EVENTS.regained, { asOf: changes.asOf });
    }
    this.failures = 0;
    this.enter('reading');
    const news = ledger.apply(changes);
    this.parts.onChanges(changes, news);
    if (changes.records.length > 0) await waitUntil(clock, clock.now() + BATCH_MS);
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
