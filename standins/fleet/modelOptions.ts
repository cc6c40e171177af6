/** Parameters of a modelled service; times in milliseconds. */
export interface ModelService {
  readonly name: string;
  /** Targets in each zone, in the order of the zones. */
  readonly targets: readonly number[];
  readonly slots: number;
  /** Maximum number of calls queued at a target; further ones are reset or refused. */
  readonly queueLimit: number;
  readonly whenFull: 'reset' | 'refuse';
  /** Slowdown of work while more than `kneeShare` of the slots are in use. */
  readonly kneeFactor: number;
  readonly kneeShare: number;
  /** Noisy neighbours slow a target by `factor` in a `share` of the periods. */
  readonly noise: { readonly share: number; readonly factor: number; readonly everyMs: number };
}

/** A kind of call that the modelled callers send. */
export interface ModelKind {
  readonly name: string;
  readonly service: string;
  /** Further services that run this kind, each as many calls as the first; none by default. */
  readonly otherServices?: readonly string[];
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly timeLimitMs: number;
  readonly isIdempotent: boolean;
  readonly priority: number;
  /** Tenant that sends this kind; without tenants in any kind the deployment has none. */
  readonly tenant?: string;
  /** Retries of a caller after a refusal or, if the call is idempotent, after a failure. */
  readonly retries: number;
}

/** A change of the load or of the targets from second `at` to second `until` of a run. */
export type ModelDisturbance =
  /** Multiplies the call rate by `factor`, for all kinds of calls or only the one named `only`. */
  | {
      readonly kind: 'burst';
      readonly at: number;
      readonly until: number;
      readonly factor: number;
      readonly only?: string;
    }
  /** Slows a share of all targets by `factor`. */
  | {
      readonly kind: 'slow';
      readonly at: number;
      readonly until: number;
      readonly share: number;
      readonly factor: number;
    }
  /** Gray failure: a share of the targets ends half of its calls at once, reporting little load. */
  | {
      readonly kind: 'grey';
      readonly at: number;
      readonly until: number;
      readonly share: number;
      readonly how: 'failed' | 'refused';
    }
  /** A share of the targets of a service limits the calls per second that it takes. */
  | {
      readonly kind: 'limited';
      readonly at: number;
      readonly until: number;
      readonly service: string;
      readonly share: number;
      readonly perSecond: number;
    }
  /** Callers retry refused calls at once instead of after the time they were given. */
  | { readonly kind: 'impatient'; readonly at: number; readonly until: number };

/** Parameters of a simulation run. */
export interface ModelOptions {
  readonly seed: number;
  readonly zones: readonly string[];
  /** Hosts in each zone, in the order of the zones. */
  readonly hosts: readonly number[];
  /** Whether hosts tell each other their in-flight counts, which large zones don't; true by default. */
  readonly hasInFlightBroadcasts?: boolean;
  readonly services: readonly ModelService[];
  readonly kinds: readonly ModelKind[];
  readonly disturbances: readonly ModelDisturbance[];
  readonly seconds: number;
  /** How hosts choose targets; `naive` takes the better of two random ones by own calls. */
  readonly policy: 'product' | 'naive';
}
