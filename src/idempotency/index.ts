export { KeyClaims, type KeyClaimsParts } from './keyClaims';
export { type ClaimRequest } from './claimRequest';
export { type ClaimResult } from './claimResult';
export { ClaimClient } from './claimClient';
export { KeyHome } from './keyHome';
export { KeyTable, KEY_LIFETIME_MS, MAX_STORED_ANSWER_BYTES, UNKNOWN_ANSWER } from './keyTable';
