import { type Result } from 'ts-results';

import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { type PlatformError, type PublishedConfiguration } from '../published';
import { type Clock, type Random, rendezvousOrder, waitUntil } from '../runtime';
import { type Sheet } from '../sheet';

import { CONFIGURATION_EVENTS } from './configurationEvents';
import { CONFIGURATION_METRICS } from './configurationMetrics';
import { type ConfigurationState } from './configurationState';
import { type FleetRecord } from './fleetRecord';
import { type Acceptance, type Rejection } from './order';
import { PublicationMonitor } from './publicationMonitor';

const WATCHER_COUNT = 2;
const WATCH_SECONDS = 25;
const READ_INTERVAL_MS = 30_000;
// Prevents a tight loop when the service answers watches immediately.
const WATCH_PAUSE_MS = 1000;
const MIN_RETRY_DELAY_MS = 1000;
const MAX_RETRY_DELAY_MS = 30_000;

/** Dependencies of a configuration watcher. */
export interface ConfigurationWatcherParts {
  readonly hostId: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly metrics: MetricsSink;
  /** Reads the service; with `after`, waits up to `waitSeconds` for a version above it. */
  readonly read: (
    after: number | null,
    waitSeconds: number,
    signal: AbortSignal,
  ) => Promise<Result<PublishedConfiguration | null, PlatformError>>;
  /** The record in force; null while none is known. */
  readonly record: () => FleetRecord | null;
  /** Proposes a published sheet to the fleet; idempotent. */
  readonly propose: (sheet: Sheet) => Promise<Result<Acceptance, Rejection>>;
}

/** Reads the configuration service, by long poll on some hosts, and proposes newer sheets. */
export class ConfigurationWatcher {
  private readonly publication: PublicationMonitor;

  private readonly stopController = new AbortController();

  private pauseController = new AbortController();

  private failures = 0;

  // A watch does not reveal other content under the same version, so plain reads alternate with it.
  private shouldWatchNext = false;

  private wasWatcher = false;

  constructor(private readonly parts: ConfigurationWatcherParts) {
    this.publication = new PublicationMonitor(parts.clock.now(), parts.events);
  }

  /** Current state of the service as seen by this host. */
  state(): ConfigurationState {
    return this.publication.current();
  }

  /** True when rendezvous hashing selects this host as one of the watchers. */
  isWatcher(): boolean {
    const members = this.parts.record()?.members ?? [];
    const watchers = rendezvousOrder('configuration', members).slice(0, WATCHER_COUNT);
    return watchers.includes(this.parts.hostId);
  }

  /** Must be called on each record change; a host that becomes a watcher reads immediately. */
  recordChanged(): void {
    const isWatcher = this.isWatcher();
    if (isWatcher && !this.wasWatcher && this.failures === 0) this.pauseController.abort();
    this.wasWatcher = isWatcher;
  }

  /** Reads until `stop` is called. */
  async run(): Promise<void> {
    const { signal } = this.stopController;
    while (!signal.aborted) {
      const isWatching = this.shouldWatchNext && this.isWatcher();
      const succeeded = await this.readOnce(isWatching);
      if (signal.aborted) return;
      this.failures = succeeded ? 0 : this.failures + 1;
      this.shouldWatchNext = succeeded && !isWatching;
      await this.waitForNextRead();
    }
  }

  /** Aborts the read in progress and ends `run`. */
  stop(): void {
    this.stopController.abort();
  }

  /** Reads once and proposes a newer sheet; false when the read or the proposal failed. */
  private async readOnce(isWatching: boolean): Promise<boolean> {
    const { clock, metrics, read } = this.parts;
    const after = isWatching ? this.versionToWatch() : null;
    metrics.increment(CONFIGURATION_METRICS.reads);
    const answer = await read(after, isWatching ? WATCH_SECONDS : 0, this.stopController.signal);
    if (this.stopController.signal.aborted) return false;
    if (answer.err) {
      this.recordFailure(answer.val);
      return false;
    }
    if (this.failures > 0) this.parts.events.emit(CONFIGURATION_EVENTS.readAgain);
    if (answer.val === null) {
      this.publication.recordUnchanged(clock.now());
      return true;
    }
    const sheet = this.publication.evaluate(answer.val.text, clock.now(), this.parts.record());
    return sheet === null || this.proposeSheet(sheet);
  }

  private versionToWatch(): number {
    return Math.max(this.parts.record()?.sheetVersion ?? 0, this.publication.highestVersion());
  }

  private recordFailure(error: PlatformError): void {
    const { events, metrics } = this.parts;
    metrics.increment(CONFIGURATION_METRICS.readFailures);
    if (this.failures === 0) events.emit(CONFIGURATION_EVENTS.readFailed, { ...error });
  }

  /** False when the proposal should be retried; a conflict is evaluated again on the next read. */
  private async proposeSheet(sheet: Sheet): Promise<boolean> {
    const { version, fingerprint } = sheet;
    this.parts.events.emit(CONFIGURATION_EVENTS.sheetProposed, { version, fingerprint });
    const result = await this.parts.propose(sheet);
    return result.ok || result.val.kind === 'conflict' || result.val.kind === 'invalid';
  }

  private async waitForNextRead(): Promise<void> {
    const { clock } = this.parts;
    this.pauseController = new AbortController();
    const signal = AbortSignal.any([this.pauseController.signal, this.stopController.signal]);
    await waitUntil(clock, clock.now() + this.nextReadDelay(), signal);
  }

  private nextReadDelay(): number {
    const { random } = this.parts;
    if (this.failures > 0) {
      const maxDelay = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** (this.failures - 1));
      return maxDelay * (0.5 + random.next() / 2);
    }
    this.wasWatcher = this.isWatcher();
    return this.wasWatcher ? WATCH_PAUSE_MS : READ_INTERVAL_MS * (0.75 + random.next() / 2);
  }
}
