/** How far a tenant may exceed its limit, and in which time. */
export interface QuotaRules {
  readonly windowMs: number;
  /** Share of the limit by which the calls of a window may exceed it. */
  readonly overage: number;
  /** Calls of a window beyond the limit and the overage. */
  readonly slack: number;
  /** Whether a host without contact to the store stops serving calls that need a key. */
  readonly hasStrictRevocation: boolean;
}
