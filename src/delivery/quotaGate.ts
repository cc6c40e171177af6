import { type Tenant } from '../catalog';

import { type CallEnd } from './callEnd';
import { type CallQuotas } from './callQuotas';
import { quotaAnswer } from './tenantAnswers';

/** The end of a call, and whether it may have been sent to a target. */
export interface SentCallEnd {
  readonly end: CallEnd;
  readonly wasSent: boolean;
}

const LEFT: SentCallEnd = { end: { kind: 'callerLeft' }, wasSent: false };

/** Runs calls that the limits of their tenants allow. */
export class QuotaGate {
  constructor(private readonly quotas: CallQuotas) {}

  /** Runs a call within the limit of its tenant; `hasLeft` tells whether its caller is gone. */
  async run(
    tenant: Tenant | null,
    hasLeft: () => boolean,
    runCall: () => Promise<SentCallEnd>,
  ): Promise<CallEnd> {
    if (tenant === null || tenant.callsPerSecond === 0) return (await runCall()).end;
    const decision = await this.quotas.acquire(tenant);
    const refusal = quotaAnswer(decision);
    if (refusal !== null) return hasLeft() ? { kind: 'callerLeft' } : { kind: 'own', own: refusal };
    const { end, wasSent } = hasLeft() ? LEFT : await runCall();
    if (!wasSent) this.quotas.release(tenant);
    return end;
  }
}
