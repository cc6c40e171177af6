/** Cancellation token of a call; cheaper than an `AbortController` for each call. */
export class Cancellation {
  private listeners: (() => void)[] = [];

  private hasFired = false;

  /** True once the call has been cancelled. */
  get isCancelled(): boolean {
    return this.hasFired;
  }

  /** Calls `listener` once on cancellation, or immediately if the call is already cancelled. */
  addListener(listener: () => void): void {
    if (this.hasFired) listener();
    else this.listeners.push(listener);
  }

  removeListener(listener: () => void): void {
    const index = this.listeners.indexOf(listener);
    if (index !== -1) this.listeners.splice(index, 1);
  }

  /** Cancels the call; idempotent. */
  cancel(): void {
    if (this.hasFired) return;
    this.hasFired = true;
    const { listeners } = this;
    this.listeners = [];
    for (const listener of listeners) listener();
  }
}
