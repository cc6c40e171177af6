/**
 * Runs `run` once the input that has already arrived was read. Called by a timer that judges another
 * process by its silence: after this one was held up, timers may fire before that input is read.
 */
export function afterPendingInput(run: () => void): void {
  setImmediate(run);
}
