/** What a probe of a target showed. */
export interface ProbeAnswer {
  readonly kind: 'ready' | 'draining' | 'failed' | 'unreachable';
  /** Identity of the target's process; null when not told. */
  readonly instance: string | null;
  /** Utilisation in [0, 1]; null when not told. */
  readonly utilization: number | null;
}
