import Logger from 'bunyan';

/** Creates the bunyan logger of the process, which writes to standard output. */
export function createLogger(name: string, hostId: string, level: Logger.LogLevel): Logger {
  return Logger.createLogger({ name, host: hostId, level, stream: process.stdout });
}
