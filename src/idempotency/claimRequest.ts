/** A claim of an idempotency key for one call. */
export interface ClaimRequest {
  readonly service: string;
  readonly key: string;
  /** Digest of method and path. */
  readonly fingerprint: string;
  /** Host that wants to run the call. */
  readonly claimant: string;
  /** Monotonic time by which the call must have ended. */
  readonly deadline: number;
}
