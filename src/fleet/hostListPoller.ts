import { type Result } from 'ts-results';

import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { type HostList, type PlatformError } from '../published';
import { type Clock, type Random, waitUntil } from '../runtime';

import { CONFIGURATION_EVENTS } from './configurationEvents';
import { CONFIGURATION_METRICS } from './configurationMetrics';

/** State by target or host id; removed machines are not listed. */
export type HostStates = HostList['states'];

const MIN_INTERVAL_MS = 1000;
const MAX_FLEET_READS_PER_SECOND = 200;

/** Dependencies of a host list poller. */
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
  /** Called with each changed list; the last list stays valid while reads fail. */
  readonly onChange: (states: HostStates) => void;
}

/** Polls the platform's host list at a rate limited over the whole fleet. */
export class HostListPoller {
  private readonly stopController = new AbortController();

  private entityTag = '';

  private isFailing = false;

  constructor(private readonly parts: HostListPollerParts) {}

  /** Reads until `stop` is called; the first read comes at a random time within one interval. */
  async run(): Promise<void> {
    const { clock, random } = this.parts;
    const { signal } = this.stopController;
    let next = clock.now() + this.interval() * random.next();
    await waitUntil(clock, next, signal);
    while (!signal.aborted) {
      await this.readOnce();
      next = Math.max(next + this.interval(), clock.now());
      await waitUntil(clock, next, signal);
    }
  }

  /** Aborts the read in progress and ends `run`. */
  stop(): void {
    this.stopController.abort();
  }

  private interval(): number {
    return Math.max(MIN_INTERVAL_MS, (this.parts.hostCount() / MAX_FLEET_READS_PER_SECOND) * 1000);
  }

  private async readOnce(): Promise<void> {
    const { events, metrics, onChange, read } = this.parts;
    const list = await read(this.entityTag, this.stopController.signal);
    if (this.stopController.signal.aborted) return;
    if (list.err) {
      metrics.increment(CONFIGURATION_METRICS.hostListFailures);
      if (!this.isFailing) events.emit(CONFIGURATION_EVENTS.hostListFailed, { ...list.val });
      this.isFailing = true;
      return;
    }
    if (this.isFailing) events.emit(CONFIGURATION_EVENTS.hostListAgain);
    this.isFailing = false;
    if (list.val === null) return;
    this.entityTag = list.val.entityTag;
    onChange(list.val.states);
  }
}
