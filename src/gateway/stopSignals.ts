/** Aborted by the first and by the second SIGTERM or SIGINT. */
export interface StopSignals {
  readonly first: AbortSignal;
  readonly second: AbortSignal;
}

/** Listens to the signals that stop a process. */
export function listenToStopSignals(): StopSignals {
  const first = new AbortController();
  const second = new AbortController();
  const onSignal = () => (first.signal.aborted ? second : first).abort();
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  return { first: first.signal, second: second.signal };
}
