import { type Lifecycle } from '../lifecycle';

/** A task that runs until it is stopped. */
export interface Task {
  run(): Promise<void>;
  stop(): void;
}

/** Runs a task and gives it to the life cycle, which stops it and waits for its end. */
export function ownTask(name: string, task: Task, lifecycle: Lifecycle): void {
  const ended = task.run();
  lifecycle.own(name, () => {
    task.stop();
    return ended;
  });
}
