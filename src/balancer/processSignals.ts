/**
 * Resolves on the first SIGTERM or SIGINT. Later ones and SIGHUP never end the process, which would cut
 * off the calls that a stop completes.
 */
export function waitForStopSignal(): Promise<NodeJS.Signals> {
  // The settings watch handles SIGHUP while it runs; the default action is to end the process.
  process.on('SIGHUP', () => {});
  return new Promise((resolve) => {
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
}
