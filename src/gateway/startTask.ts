import { type Lifecycle } from '../lifecycle';

/** A task that runs until it is stopped. */
export interface Task {
  run(): Promise<void>;
  stop(): void;
}

/** Runs a task and registers it with the life cycle, which stops it and waits for its end. */
export function startTask(name: string, task: Task, lifecycle: Lifecycle): void {
  const ended = task.run();
  lifecycle.own(name, () => {
    task.stop();
    return ended;
  });
}
