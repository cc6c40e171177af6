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
import { Publication } from './publication';

const WATCHERS = 2;
const WATCH_SECONDS = 25;
const READ_INTERVAL_MS = 30_000;
// Keeps a service that answers watches at once from being read without a break.
const WATCH_PAUSE_MS = 1000;
const FIRST_RETRY_MS = 1000;
const LONGEST_RETRY_MS = 30_000;

/** What a configuration watcher works with. */
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
  /** Brings a published sheet into force; a repeat changes nothing. */
  readonly propose: (sheet: Sheet) => Promise<Result<Acceptance, Rejection>>;
}

/** Reads the configuration service and proposes newer sheets. */
export class ConfigurationWatcher {
  private readonly publication: Publication;

  private readonly stopped = new AbortController();

  private pause = new AbortController();

  private failures = 0;

  // A watch does not show another content of the same version, so plain reads come in between.
  private watchNext = false;

  private wasWatcher = false;

  constructor(private readonly parts: ConfigurationWatcherParts) {
    this.publication = new Publication(parts.clock.now(), parts.events);
  }

  /** What is known of the service. */
  state(): ConfigurationState {
    return this.publication.current();
  }

  /** True when this host is one of those that hold a watch. */
  isWatcher(): boolean {
    const members = this.parts.record()?.members ?? [];
    const watchers = rendezvousOrder('configuration', members).slice(0, WATCHERS);
    return watchers.includes(this.parts.hostId);
  }

  /** Call with each change of the record; a host that becomes a watcher starts without delay. */
  recordChanged(): void {
    const isWatcher = this.isWatcher();
    if (isWatcher && !this.wasWatcher && this.failures === 0) this.pause.abort();
    this.wasWatcher = isWatcher;
  }

  /** Reads until `stop` is called. */
  async run(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const watching = this.watchNext && this.isWatcher();
      const succeeded = await this.readOnce(watching);
      if (signal.aborted) return;
      this.failures = succeeded ? 0 : this.failures + 1;
      this.watchNext = succeeded && !watching;
      await this.rest();
    }
  }

  /** Ends the running read and the task. */
  stop(): void {
    this.stopped.abort();
  }

  /** Reads once and proposes what is newer; false when the read or the proposal failed. */
  private async readOnce(watching: boolean): Promise<boolean> {
    const { clock, metrics, read } = this.parts;
    const after = watching ? this.versionToWatch() : null;
    metrics.increment(CONFIGURATION_METRICS.reads);
    const answer = await read(after, watching ? WATCH_SECONDS : 0, this.stopped.signal);
    if (this.stopped.signal.aborted) return false;
    if (answer.err) {
      this.noteFailure(answer.val);
      return false;
    }
    if (this.failures > 0) this.parts.events.emit(CONFIGURATION_EVENTS.readAgain);
    if (answer.val === null) {
      this.publication.noteUnchanged(clock.now());
      return true;
    }
    const sheet = this.publication.take(answer.val.text, clock.now(), this.parts.record());
    return sheet === null || this.proposeSheet(sheet);
  }

  private versionToWatch(): number {
    return Math.max(this.parts.record()?.sheetVersion ?? 0, this.publication.highestVersion());
  }

  private noteFailure(error: PlatformError): void {
    const { events, metrics } = this.parts;
    metrics.increment(CONFIGURATION_METRICS.readFailures);
    if (this.failures === 0) events.emit(CONFIGURATION_EVENTS.readFailed, { ...error });
  }

  /** False when the proposal should be repeated; a conflict is judged again with the next read. */
  private async proposeSheet(sheet: Sheet): Promise<boolean> {
    const { version, fingerprint } = sheet;
    this.parts.events.emit(CONFIGURATION_EVENTS.sheetProposed, { version, fingerprint });
    const result = await this.parts.propose(sheet);
    return result.ok || result.val.kind === 'conflict' || result.val.kind === 'invalid';
  }

  private async rest(): Promise<void> {
    const { clock } = this.parts;
    this.pause = new AbortController();
    const signal = AbortSignal.any([this.pause.signal, this.stopped.signal]);
    await waitUntil(clock, clock.now() + this.restTime(), signal);
  }

  private restTime(): number {
    const { random } = this.parts;
    if (this.failures > 0) {
      const longest = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** (this.failures - 1));
      return longest * (0.5 + random.next() / 2);
    }
    this.wasWatcher = this.isWatcher();
    return this.wasWatcher ? WATCH_PAUSE_MS : READ_INTERVAL_MS * (0.75 + random.next() / 2);
  }
}
