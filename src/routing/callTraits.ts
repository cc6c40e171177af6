/** What routing needs to know of a call. */
export interface CallTraits {
  readonly callId: string;
  readonly service: string;
  /** Priority class. */
  readonly class: string;
  readonly idempotent: boolean;
  /** Monotonic time by which the answer must be complete. */
  readonly deadline: number;
  /** Fingerprint of a call during which a target died before; such calls run one a target. */
  readonly suspect: string | null;
  /** Targets that already failed this call; another one is taken where possible. */
  readonly avoid: ReadonlySet<string>;
}
