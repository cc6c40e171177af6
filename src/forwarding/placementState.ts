/** State of the placements of a call, shared by its retries and hedges. */
export class PlacementState {
  placements = 0;

  /** Owners that refused the call. */
  readonly excludedOwners = new Set<string>();

  /** Targets on which the call failed. */
  readonly avoidedTargets = new Set<string>();

  /** Owners that are running the call; a hedge prefers other owners. */
  readonly activeOwners = new Set<string>();
}
