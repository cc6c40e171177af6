/** How long a host may use its proof, in milliseconds; `ageMs` is null without a proof. */
export interface ProofState {
  readonly ageMs: number | null;
  /** Time left until the deadline for the use of keys, 0 when it has passed. */
  readonly leftMs: number;
  readonly mayUseKeys: boolean;
}
