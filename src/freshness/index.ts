export { type KeyValidity } from './keyValidity';
export { Freshness, type FreshnessParts, type ProofState } from './freshness';
export { FRESHNESS_EVENTS } from './events';
export { FRESHNESS_METRICS } from './metrics';
