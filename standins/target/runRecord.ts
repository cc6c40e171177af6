/** How a run ended; only a run that is `done` took effect. */
export type RunState =
  'queued' | 'running' | 'done' | 'failed' | 'cancelled' | 'deadline' | 'crashed';

/** One call that a target accepted. */
export interface RunRecord {
  readonly callId: string;
  /** Idempotency-Key of the call, or its path. */
  readonly key: string;
  readonly startedAt: number;
  endedAt: number | null;
  state: RunState;
}
