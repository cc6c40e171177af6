import { type AnswerHead } from './answerHead';
import { type AttemptResult } from './attemptResult';
import { type RunningAttempt } from './runningAttempt';

/** Is told of the steps of an attempt. */
export interface AttemptObserver {
  /** The answer's head is there; also for answers that are not used. */
  onHead(attempt: RunningAttempt, head: AnswerHead): void;
  /** The attempt has ended; called once. */
  onEnd(attempt: RunningAttempt, result: AttemptResult): void;
}
