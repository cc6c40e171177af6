import { type Result } from 'ts-results';

import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { type HostList, type PlatformError } from '../published';
import { type Clock, type Random, waitUntil } from '../runtime';

import { CONFIGURATION_EVENTS } from './configurationEvents';
import { CONFIGURATION_METRICS } from './configurationMetrics';

/** State by id of a target or host; machines that are gone are not listed. */
export type HostStates = HostList['states'];

const SHORTEST_INTERVAL_MS = 1000;
const FLEET_READS_PER_SECOND = 200;

/** What a poller of the host list works with. */
export interface HostListPollerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly metrics: MetricsSink;
  readonly read: (
    entityTag: string,
    signal: AbortSignal,
  ) => Promise<Result<HostList | null, PlatformError>>;
  /** Number of gateways that poll the list. */
  readonly hostCount: () => number;
  /** Called with each changed list; the last one stays in use while the list cannot be read. */
  readonly onChange: (states: HostStates) => void;
}

/** Polls the platform's host list. */
export class HostListPoller {
  private readonly stopped = new AbortController();

  private entityTag = '';

  private failing = false;

  constructor(private readonly parts: HostListPollerParts) {}

  /** Reads until `stop` is called; the first read is spread over one interval. */
  async run(): Promise<void> {
    const { clock, random } = this.parts;
    const { signal } = this.stopped;
    let next = clock.now() + this.interval() * random.next();
    await waitUntil(clock, next, signal);
    while (!signal.aborted) {
      await this.readOnce();
      next = Math.max(next + this.interval(), clock.now());
      await waitUntil(clock, next, signal);
    }
  }

  /** Ends the running read and the task. */
  stop(): void {
    this.stopped.abort();
  }

  private interval(): number {
    return Math.max(SHORTEST_INTERVAL_MS, (this.parts.hostCount() / FLEET_READS_PER_SECOND) * 1000);
  }

  private async readOnce(): Promise<void> {
    const { events, metrics, onChange, read } = this.parts;
    const list = await read(this.entityTag, this.stopped.signal);
    if (this.stopped.signal.aborted) return;
    if (list.err) {
      metrics.increment(CONFIGURATION_METRICS.hostListFailures);
      if (!this.failing) events.emit(CONFIGURATION_EVENTS.hostListFailed, { ...list.val });
      this.failing = true;
      return;
    }
    if (this.failing) events.emit(CONFIGURATION_EVENTS.hostListAgain);
    this.failing = false;
    if (list.val === null) return;
    this.entityTag = list.val.entityTag;
    onChange(list.val.states);
  }
}
