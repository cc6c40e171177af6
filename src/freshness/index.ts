export { ALWAYS_VALID_KEYS, type KeyValidity } from './keyValidity';
export { type ProofState } from './proofState';
export { Freshness, type FreshnessParts } from './freshness';
export { FRESHNESS_EVENTS } from './events';
export { FRESHNESS_METRICS } from './metrics';
