/** Tells that a call is no longer wanted; cheaper than an AbortController for each call. */
export class Cancellation {
  private listeners: (() => void)[] = [];

  private done = false;

  /** True once the call is no longer wanted. */
  get cancelled(): boolean {
    return this.done;
  }

  /** Calls `listener` once when the call is cancelled; at once when it already is. */
  add(listener: () => void): void {
    if (this.done) listener();
    else this.listeners.push(listener);
  }

  remove(listener: () => void): void {
    const index = this.listeners.indexOf(listener);
    if (index !== -1) this.listeners.splice(index, 1);
  }

  /** Cancels the call; repeated calls have no effect. */
  cancel(): void {
    if (this.done) return;
    this.done = true;
    const { listeners } = this;
    this.listeners = [];
    for (const listener of listeners) listener();
  }
}
