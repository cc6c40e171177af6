export { KeyClaims, type KeyClaimsParts } from './keyClaims';
export { type ClaimRequest } from './claimRequest';
export { type ClaimVerdict } from './claimVerdict';
export { ClaimClient } from './claimClient';
export { KeyHome } from './keyHome';
export { KeyTable, KEY_LIFETIME_MS, LARGEST_KEPT_ANSWER_BYTES, UNKNOWN_ANSWER } from './keyTable';
