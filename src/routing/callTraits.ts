/** Properties of a call that routing depends on. */
export interface CallTraits {
  readonly callId: string;
  readonly service: string;
  /** Priority class. */
  readonly class: string;
  readonly idempotent: boolean;
  /** Monotonic time by which the answer must be complete. */
  readonly deadline: number;
  /**
   * Fingerprint of a call during which a target died before; null for other calls. A target runs
   * at most one such call at a time.
   */
  readonly suspect: string | null;
  /** Targets that already failed this call; other targets are preferred. */
  readonly avoid: ReadonlySet<string>;
}
