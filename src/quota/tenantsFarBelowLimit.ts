import { type QuotaResult } from '../exchange';
import { type Clock } from '../runtime';

// A tenant can reach its limit within this time after it was far below it.
const LIFETIME_MS = 5000;

/** The tenants whose calls were granted lately while they were far below their limits. */
export class TenantsFarBelowLimit {
  private readonly until = new Map<number, number>();

  constructor(private readonly clock: Clock) {}

  /** Whether the tenant with this key is one of them. */
  has(tenant: number): boolean {
    return (this.until.get(tenant) ?? -Infinity) > this.clock.now();
  }

  /** Applies the result of a question about a tenant. */
  record(tenant: number, result: QuotaResult): void {
    if (result.kind === 'granted' && result.isFarBelowLimit)
      this.until.set(tenant, this.clock.now() + LIFETIME_MS);
    else this.until.delete(tenant);
  }
}
