/** An error that ended a task, which is started again after `retryMs` milliseconds. */
export interface TaskFailure {
  readonly task: string;
  readonly error: unknown;
  readonly retryMs: number;
}
