import { type Tenant } from '../catalog';
import { type EventSink } from '../logging';
import { type MetricsSink } from '../metrics';
import { type Clock } from '../runtime';

import { QUOTA_EVENTS } from './events';
import { QUOTA_METRICS } from './metrics';

const MIN_EVENT_INTERVAL_MS = 10_000;
// Further tenants share one counter, so that the metrics of a host stay small.
const MAX_COUNTED_TENANTS = 100;
const OTHER_TENANTS = 'other';

/** Events and metrics of quotas; an event of a tenant is written once in 10 s. */
export class QuotaLog {
  private readonly nextEventAt = new Map<string, number>();

  private counted: ReadonlySet<string> = new Set();

  constructor(
    private readonly clock: Clock,
    private readonly events: EventSink,
    private readonly metrics: MetricsSink,
  ) {}

  /** Takes over the tenants of a configuration. */
  applyTenants(tenants: readonly Tenant[]): void {
    this.counted = new Set(tenants.slice(0, MAX_COUNTED_TENANTS).map(({ name }) => name));
    this.nextEventAt.clear();
  }

  countQuestion(): void {
    this.metrics.increment(QUOTA_METRICS.questions);
  }

  countSubstitute(): void {
    this.metrics.increment(QUOTA_METRICS.substitutes);
  }

  /** A call was refused since the limit is reached. */
  reportExceeded({ name, callsPerSecond, burst }: Tenant): void {
    this.metrics.increment(QUOTA_METRICS.exceeded, 1, { tenant: this.labelOf(name) });
    if (this.isDue(`exceeded ${name}`))
      this.events.emit(QUOTA_EVENTS.exceeded, { tenant: name, callsPerSecond, burst });
  }

  /** A call was refused since nobody could decide. */
  reportUnknown({ name }: Tenant): void {
    this.metrics.increment(QUOTA_METRICS.unknown, 1, { tenant: this.labelOf(name) });
  }

  /** The owner of a quota does not answer. */
  reportSilence(tenant: string, ip: string): void {
    if (this.isDue(`silent ${tenant}`)) this.events.emit(QUOTA_EVENTS.ownerSilent, { tenant, ip });
  }

  private labelOf(tenant: string): string {
    return this.counted.has(tenant) ? tenant : OTHER_TENANTS;
  }

  private isDue(event: string): boolean {
    const now = this.clock.now();
    if (now < (this.nextEventAt.get(event) ?? -Infinity)) return false;
    this.nextEventAt.set(event, now + MIN_EVENT_INTERVAL_MS);
    return true;
  }
}
