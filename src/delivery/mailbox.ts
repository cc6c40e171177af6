/** First-in, first-out queue of the events of one task. */
export class Mailbox<Event> {
  private readonly events: Event[] = [];

  private resolveNext: ((event: Event) => void) | null = null;

  /** Adds an event and wakes the task if it is waiting. */
  put(event: Event): void {
    const { resolveNext } = this;
    if (resolveNext === null) {
      this.events.push(event);
      return;
    }
    this.resolveNext = null;
    resolveNext(event);
  }

  /** Removes and returns the events that were not received. */
  drain(): readonly Event[] {
    return this.events.splice(0);
  }

  /** Resolves to the next event; only one caller may wait at a time. */
  next(): Promise<Event> {
    const event = this.events.shift();
    if (event !== undefined) return Promise.resolve(event);
    return new Promise((resolve) => {
      this.resolveNext = resolve;
    });
  }
}
