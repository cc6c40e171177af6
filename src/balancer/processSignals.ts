/** The request to stop the process. */
export interface StopRequest {
  /** Aborted by the first SIGTERM or SIGINT. */
  readonly signal: AbortSignal;
  /** Name of the first SIGTERM or SIGINT. */
  readonly requested: Promise<NodeJS.Signals>;
}

/**
 * Installs the handlers of SIGTERM and SIGINT. Later ones and SIGHUP never end the process, which would
 * cut off the calls that a stop completes.
 */
export function listenToStopSignals(): StopRequest {
  // The settings watch handles SIGHUP while it runs; the default action is to end the process.
  process.on('SIGHUP', () => {});
  const controller = new AbortController();
  const requested = new Promise<NodeJS.Signals>((resolve) => {
    const onSignal = (name: NodeJS.Signals) => {
      resolve(name);
      controller.abort();
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
  return { signal: controller.signal, requested };
}
