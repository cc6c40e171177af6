import { type Tenant } from '../catalog';

import { type QuotaDecision } from './quotaDecision';

/** Limits of tenants, over all hosts together. */
export interface CallQuotas {
  /** Decides one call of a tenant that has a limit. */
  acquire(tenant: Tenant): Promise<QuotaDecision>;
  /** Returns the grant of a call that ended without having been sent to any target. */
  release(tenant: Tenant): void;
}

/** Default for hosts that enforce no limits. */
export const UNLIMITED_QUOTAS: CallQuotas = {
  acquire: () => Promise.resolve({ kind: 'granted' }),
  release: () => {},
};
