/** Time for which contact with a majority lets a host act on its view (section 5). */
export const VIEW_LIFETIME_MS = 2000;
/** A starting fleet waits this long for hosts that still hold a record. */
export const SETTLING_MS = 3000;
/** A member without contact for this long is proposed for removal. */
export const SILENCE_MS = 3000;
/** A voter agrees to a removal when it had no contact with the member for this long. */
export const CONFIRMED_SILENCE_MS = 2000;
/** An accepted record that is not committed after this time is proposed again. */
export const COMPLETION_DELAY_MS = 300;
/** Replies to one phase of a proposal count for this long; must be below VIEW_LIFETIME_MS. */
export const PHASE_LIMIT_MS = 1000;
/** An operator's order is tried for this long. */
export const ORDER_LIMIT_MS = 4000;
