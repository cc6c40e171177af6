import { type Clock } from '../runtime';

import { AnswerTimes } from './answerTimes';
import { RetryBudget } from './retryBudget';

/** What an entry remembers of one service's calls. */
export class ServiceHistory {
  readonly budget: RetryBudget;

  readonly answerTimes = new AnswerTimes();

  constructor(clock: Clock) {
    this.budget = new RetryBudget(clock);
  }
}
