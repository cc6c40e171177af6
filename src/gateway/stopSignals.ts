/** Abort signals for the first and the second SIGTERM or SIGINT. */
export interface StopSignals {
  readonly first: AbortSignal;
  readonly second: AbortSignal;
}

/** Installs the handlers of SIGTERM and SIGINT. */
export function listenToStopSignals(): StopSignals {
  const first = new AbortController();
  const second = new AbortController();
  const onSignal = () => (first.signal.aborted ? second : first).abort();
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  return { first: first.signal, second: second.signal };
}
