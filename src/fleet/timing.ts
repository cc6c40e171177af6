/** Duration of the lease on a view after contact with a majority (docs/design.md, section 5). */
export const VIEW_LIFETIME_MS = 2000;
/** How long a starting fleet waits for hosts that still hold a record. */
export const SETTLING_TIME_MS = 3000;
/** Time without contact after which a host proposes the removal of a member. */
export const REMOVAL_SILENCE_MS = 3000;
/** Time without contact after which a voter agrees to the removal of a member. */
export const REMOVAL_VOTE_SILENCE_MS = 2000;
/** Time after which a record that is accepted but not committed is proposed again. */
export const COMPLETION_DELAY_MS = 300;
/** Timeout for the replies to one phase of a proposal; must be below VIEW_LIFETIME_MS. */
export const PHASE_TIMEOUT_MS = 1000;
/** How long an operator's order is retried. */
export const ORDER_TIMEOUT_MS = 4000;
