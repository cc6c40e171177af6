import { type Clock } from '../runtime';

import { AnswerTimes } from './answerTimes';
import { RetryBudget } from './retryBudget';

/** Retry budget and response times of a service on its entry host. */
export class ServiceHistory {
  readonly budget: RetryBudget;

  readonly answerTimes = new AnswerTimes();

  constructor(clock: Clock) {
    this.budget = new RetryBudget(clock);
  }
}
