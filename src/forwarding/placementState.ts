/** What the placements of one call have learnt; retries and hedges of the call share it. */
export class PlacementState {
  placements = 0;

  /** Owners that refused the call. */
  readonly excluded = new Set<string>();

  /** Targets that failed the call. */
  readonly avoid = new Set<string>();

  /** Owners that run the call now; a hedge prefers another one. */
  readonly inUse = new Set<string>();
}
