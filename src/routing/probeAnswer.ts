/** Result of a probe of a target. */
export interface ProbeAnswer {
  readonly kind: 'ready' | 'draining' | 'failed' | 'unreachable';
  /** Identity of the target's process; null when not reported. */
  readonly instance: string | null;
  /** Utilisation in [0, 1]; null when not reported. */
  readonly utilization: number | null;
}
