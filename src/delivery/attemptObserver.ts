import { type AnswerHead } from './answerHead';
import { type AttemptResult } from './attemptResult';
import { type RunningAttempt } from './runningAttempt';

/** Observes the progress of an attempt. */
export interface AttemptObserver {
  /** Asked when the first byte is about to leave: why the attempt is withdrawn, null if it is not. */
  withdrawal(attempt: RunningAttempt): string | null;
  /** The head of the answer has arrived; also called for answers that are not used. */
  onHead(attempt: RunningAttempt, head: AnswerHead): void;
  /** The attempt has ended; called once. */
  onEnd(attempt: RunningAttempt, result: AttemptResult): void;
}
