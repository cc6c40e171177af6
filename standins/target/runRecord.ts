/** State of a run; only a run in state `done` took effect. */
export type RunState =
  'queued' | 'running' | 'done' | 'failed' | 'cancelled' | 'deadline' | 'crashed';

/** One call that a target accepted. */
export interface RunRecord {
  readonly callId: string;
  /** Idempotency-Key of the call, or its path without one. */
  readonly key: string;
  readonly startedAt: number;
  endedAt: number | null;
  state: RunState;
}
