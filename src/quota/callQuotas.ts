import { type Tenant } from '../catalog';

import { type QuotaDecision } from './quotaDecision';

/** What the path of a call asks about the quota of its tenant. */
export interface CallQuotas {
  /** Takes one call from the quota of the tenant. */
  acquire(tenant: Tenant): Promise<QuotaDecision>;
  /** Returns a granted call that was not sent to a target. */
  release(tenant: Tenant): void;
}
