import { type Result } from 'ts-results';

import { type CatalogChanges, type CatalogRecord, type Ledger } from '../catalog';
import { type EventSink } from '../logging';
import { type Clock, type Random, waitUntil } from '../runtime';

import { type AnswerHistory } from './answerHistory';
import { type CatalogSource } from './catalogSource';
import { SOURCE_EVENTS } from './events';
import { type SourceError } from './sourceError';
import { type SourceState } from './sourceState';
import { UncertainDeletions } from './uncertainDeletions';

// A dead connection is detected WATCH_DURATION_MS + WATCH_GRACE_MS after the watch began. Each zone
// has its own reader, so meanwhile changes arrive from the readers of other zones.
const WATCH_DURATION_MS = 2500;
const WATCH_GRACE_MS = 350;
const READ_TIMEOUT_MS = 700;
// Changes that follow each other within this time are read with one request.
const BATCH_DELAY_MS = 350;
// Watch duration while deletions are withheld, so that an answer of another host that shows them to be
// certain is soon acted on.
const WITHHOLDING_WATCH_MS = 500;
// Keeps the readers of all zones from opening their connections again at the same moment.
const RECONNECT_SPREAD_MS = 50;
const BASE_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2000;
// A change that the source is known to have is read within this time, even after others before it.
const CATCH_UP_DELAY_MS = 500;
// Another host reads on by then.
const MAX_CATCH_UP_MS = 3000;
// Interval at which a host that does not read rechecks whether it must.
const IDLE_RECHECK_MS = 100;

/** Dependencies and callbacks of `CatalogReader`. */
export interface CatalogReaderParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly source: CatalogSource;
  readonly ledger: Ledger;
  readonly events: EventSink;
  /** Answers of the source to any host, to which those to this one are added. */
  readonly answers: AnswerHistory;
  /** Time within which a removed target gets no more calls, in milliseconds. */
  readonly removalApplyMs: number;
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

// A source that refuses the history of a request has answered it.
function isAnswer({ kind }: SourceError): boolean {
  return kind === 'forgotten' || kind === 'restored';
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

  private readonly uncertainDeletions: UncertainDeletions;

  /** The change that this host reads in place of the one that reads for it, and until when it does. */
  private awaited = { revision: 0, deadline: -Infinity };

  constructor(private readonly parts: CatalogReaderParts) {
    this.uncertainDeletions = new UncertainDeletions(parts);
  }

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
      if (!this.parts.mustRead() && !this.mustCatchUp()) {
        this.stopReading();
        await waitUntil(clock, clock.now() + IDLE_RECHECK_MS);
        continue;
      }
      const onApplied = this.parts.onRequest?.();
      const requestedAt = clock.now();
      const result = await this.readOnce();
      if (this.isClosed) return;
      if (result.ok || isAnswer(result.val)) this.parts.answers.record(requestedAt, clock.now());
      if (result.ok) await this.applyOrReport(result.val, onApplied);
      else await this.handleFailure(result.val);
    }
  }

  /**
   * Reads a change of the source that is known to have this revision, if that has not happened otherwise: at a host that
   * reads, over a new connection, and at another one in place of the reader of its zone.
   */
  catchUp(revision: number): void {
    const { clock } = this.parts;
    const now = clock.now();
    const newest = Math.max(this.awaited.revision, revision);
    this.awaited = { revision: newest, deadline: now + MAX_CATCH_UP_MS };
    if (this.currentState !== 'reading') return;
    void waitUntil(clock, now + CATCH_UP_DELAY_MS).then(() => {
      if (this.isClosed || this.currentState !== 'reading' || this.hasReadUntil(revision)) return;
      this.parts.events.emit(SOURCE_EVENTS.watchMissed, { revision, read: this.readRevision });
      this.parts.source.close();
    });
  }

  /** Stops the task and cancels its request. */
  close(): void {
    this.isClosed = true;
    this.parts.source.close();
  }

  private hasReadUntil(revision: number): boolean {
    return Math.max(this.readRevision, this.parts.ledger.newestRevision()) >= revision;
  }

  private mustCatchUp(): boolean {
    const { revision, deadline } = this.awaited;
    return this.parts.clock.now() < deadline && this.parts.ledger.newestRevision() < revision;
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
    this.uncertainDeletions.clear();
  }

  private readOnce(): Promise<Result<CatalogChanges, SourceError>> {
    const { clock, source, ledger } = this.parts;
    const now = clock.now();
    if (!this.hasRead || this.uncertainDeletions.isRereadDue())
      return source.readAll(now + READ_TIMEOUT_MS);
    const nextDeadline = this.uncertainDeletions.nextDeadline();
    const watchUntil =
      nextDeadline === Infinity
        ? now + WATCH_DURATION_MS
        : Math.min(now + WITHHOLDING_WATCH_MS, nextDeadline);
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
    const previousAnswerAt = this.answeredAt;
    this.answeredAt = clock.now();
    this.hasRead = true;
    if (this.currentState !== 'reading') {
      this.parts.events.emit(SOURCE_EVENTS.regained, { asOf: changes.asOf });
    }
    this.consecutiveFailures = 0;
    this.setState('reading');
    const completeBefore = ledger.catalog().asOf;
    this.readRevision = changes.asOf;
    const newerRecords = ledger.apply(this.uncertainDeletions.filter(changes, previousAnswerAt));
    onApplied?.(changes);
    // Includes records that were sent while deletions before them were withheld: a host that missed
    // one of those is not complete up to the new revision without it.
    this.parts.onChanges(ledger.changesAfter(completeBefore), newerRecords);
    if (changes.records.length > 0) await waitUntil(clock, clock.now() + BATCH_DELAY_MS);
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
    source.close();
    this.parts.answers.recordFailure();
    this.consecutiveFailures += 1;
    // A connection that closes says nothing about the source, which may close those that wait.
    if (error.kind === 'unreachable' && this.consecutiveFailures === 1) {
      this.parts.events.emit(SOURCE_EVENTS.disconnected, { reason: error.message });
      await waitUntil(clock, clock.now() + RECONNECT_SPREAD_MS * random.next());
      return;
    }
    if (this.currentState !== 'failing') {
      this.parts.events.emit(SOURCE_EVENTS.lost, { kind: error.kind, reason: error.message });
    }
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
    this.uncertainDeletions.clear();
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
