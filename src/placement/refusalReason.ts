/** Why a call is not sent to a target. */
export type RefusalReason =
  | 'noConfiguration'
  | 'noTarget'
  /** All usable targets are new and await their first health check. */
  | 'unchecked'
  | 'allCold'
  /** The limits of all usable targets are used up. */
  | 'limited'
  | 'overloaded'
  /** The free slots are left to urgent calls that are expected before the call must start. */
  | 'yielding'
  /** Targets with free slots refused to run it. */
  | 'refused'
  /** The calls of this host hold as much memory as they may. */
  | 'noMemory'
  | 'outOfTime'
  | 'crashes'
  | 'stopping';
