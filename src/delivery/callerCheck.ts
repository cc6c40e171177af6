import { type Catalog, type Route, type Tenant } from '../catalog';
import { type KeyValidity } from '../freshness';

import { authorizationKey } from './authorizationKey';
import { type OwnAnswer } from './callerAnswer';
import { staleKeys, unprovenKey } from './tenantAnswers';

/** A caller that may make its call, with the tenant that its key belongs to, if it needs one. */
export interface AcceptedCaller {
  readonly kind: 'accepted';
  readonly tenant: Tenant | null;
}

/** Finds out whose call it is, by the key in its `Authorization` header. */
export class CallerCheck {
  constructor(
    private readonly keys: KeyValidity,
    /** Age of the proof of the configuration up to which an unknown key is rejected. */
    private readonly maxProofAgeMs: number,
  ) {}

  /** Accepts the caller of a call, or says how it is answered. */
  check(
    rawHeaders: readonly string[],
    route: Route,
    { tenants }: Catalog,
  ): AcceptedCaller | OwnAnswer {
    if (tenants === null || route.isPublic) return { kind: 'accepted', tenant: null };
    if (!this.keys.mayUseKeys()) {
      this.keys.requestProof();
      return staleKeys(this.keys);
    }
    const key = authorizationKey(rawHeaders);
    if (key === null) return { kind: 'rejected', status: 401, detail: 'no valid bearer key' };
    const tenant = tenants.find(key);
    if (tenant !== null) return { kind: 'accepted', tenant };
    if (this.keys.proofAgeMs() <= this.maxProofAgeMs)
      return { kind: 'rejected', status: 401, detail: 'unknown key' };
    this.keys.requestProof();
    return unprovenKey(this.keys);
  }
}
