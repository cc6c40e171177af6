import { Supervisor } from '../lifecycle';
import { type EventSink } from '../logging';
import { type Clock } from '../runtime';

import { describeError } from './describeError';
import { BALANCER_EVENTS } from './events';

/** A supervisor of the tasks of a host that logs their errors. */
export function superviseTasks(clock: Clock, events: EventSink): Supervisor {
  return new Supervisor(clock, ({ task, error, retryMs }) =>
    events.emit(BALANCER_EVENTS.taskFailed, { task, retryMs, ...describeError(error) }),
  );
}
