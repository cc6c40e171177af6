/** Signals in the headers of a target's answer. */
export interface TargetSignals {
  /** Value of Limpetknot-Target-Instance; null when absent. */
  readonly instance: string | null;
  /** True when Limpetknot-Target-State is `draining`. */
  readonly draining: boolean;
  /** ORCA utilisation in [0, 1]; null when absent. */
  readonly utilization: number | null;
}

/** How an attempt at a target ended. */
export type AttemptResult =
  | { readonly kind: 'answered'; readonly status: number; readonly signals: TargetSignals }
  | { readonly kind: 'refused'; readonly signals: TargetSignals }
  | { readonly kind: 'connect-failed' }
  | { readonly kind: 'connection-lost' }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'not-sent' };
