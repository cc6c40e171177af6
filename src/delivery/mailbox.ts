/** Events of one task, taken one by one in the order in which they came. */
export class Mailbox<Event> {
  private readonly events: Event[] = [];

  private waiting: ((event: Event) => void) | null = null;

  /** Adds an event; wakes the task when it waits. */
  put(event: Event): void {
    const { waiting } = this;
    if (waiting === null) {
      this.events.push(event);
      return;
    }
    this.waiting = null;
    waiting(event);
  }

  /** The next event. */
  next(): Promise<Event> {
    const event = this.events.shift();
    if (event !== undefined) return Promise.resolve(event);
    return new Promise((resolve) => {
      this.waiting = resolve;
    });
  }
}
