/** What a modelled service is like; times in milliseconds. */
export interface ModelService {
  readonly name: string;
  /** Targets in each zone, in the order of the zones. */
  readonly targets: readonly number[];
  readonly slots: number;
  /** Calls that wait at a target beyond its slots; further ones are reset or refused. */
  readonly queue: number;
  readonly whenFull: 'reset' | 'refuse';
  /** How many times longer work takes while more than `kneeShare` of the slots are taken. */
  readonly kneeFactor: number;
  readonly kneeShare: number;
  /** Neighbours of a target make it slower by `factor` for a `share` of the periods. */
  readonly noise: { readonly share: number; readonly factor: number; readonly everyMs: number };
}

/** One kind of call of the modelled callers. */
export interface ModelKind {
  readonly name: string;
  readonly service: string;
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly timeLimitMs: number;
  readonly isIdempotent: boolean;
  readonly priority: number;
  /** How often a caller comes back after a refusal or, if the call may be repeated, a failure. */
  readonly retries: number;
}

/** A change of the load or of the targets at some time of a run. */
export type ModelTrouble =
  /** `factor` times the usual calls. */
  | { readonly kind: 'burst'; readonly at: number; readonly until: number; readonly factor: number }
  /** A share of all targets is slower by `factor`. */
  | {
      readonly kind: 'slow';
      readonly at: number;
      readonly until: number;
      readonly share: number;
      readonly factor: number;
    }
  /** A share of the targets ends half of its calls at once while it reports little load. */
  | {
      readonly kind: 'grey';
      readonly at: number;
      readonly until: number;
      readonly share: number;
      readonly how: 'failed' | 'refused';
    }
  /** Callers that were refused come back at once instead of when they were told. */
  | { readonly kind: 'impatient'; readonly at: number; readonly until: number };

/** A run of the model. */
export interface ModelOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  /** Hosts in each zone, in the order of the zones. */
  readonly hosts: readonly number[];
  readonly services: readonly ModelService[];
  readonly kinds: readonly ModelKind[];
  readonly troubles: readonly ModelTrouble[];
  readonly seconds: number;
  /** How hosts choose: as the product does, or the one of two random targets that has less of theirs. */
  readonly policy: 'product' | 'naive';
}
