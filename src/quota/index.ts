export { type QuotaDecision } from './quotaDecision';
export { type CallQuotas } from './callQuotas';
export { type QuotaRules } from './quotaRules';
export { type QuotaView } from './quotaView';
export { Quotas, type QuotasParts } from './quotas';
export { QUOTA_EVENTS } from './events';
export { QUOTA_METRICS } from './metrics';
