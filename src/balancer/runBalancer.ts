import { inspect } from 'node:util';

import { Lifecycle } from '../lifecycle';
import { PrometheusSink } from '../metrics';
import { type Clock, SeededRandom, SYSTEM_TIMES, SystemClock, waitUntil } from '../runtime';
import { BALANCER_SETTINGS, type BalancerSettings, helpText } from '../settings';

import { Balancer } from './balancer';
import { type BalancerAdapter } from './balancerAdapter';
import { type BalancerCommand } from './balancerCommand';
import { BALANCER_EVENTS } from './events';
import { ProcessLog } from './processLog';
import { listenToStopSignals, type StopRequest } from './processSignals';
import { SettingsReader } from './settingsReader';
import { drainCalls, lastAnswerTime } from './stop';
import { logUncaughtErrors } from './uncaughtErrors';
import { watchSettings } from './watchSettings';

// A resource that does not close must not keep the process alive until it is killed.
const CLOSE_TIMEOUT_MS = 150;
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

/** Why the process ends, and its exit code. */
interface ProcessEnd {
  readonly reason: string;
  readonly code: number;
}

/** What the process has before it has settings. */
interface ProcessParts {
  readonly command: BalancerCommand;
  readonly adapter: BalancerAdapter;
  readonly clock: Clock;
  readonly log: ProcessLog;
  readonly stop: StopRequest;
  readonly settingsReader: SettingsReader;
}

async function closeResources({ clock, log }: ProcessParts, lifecycle: Lifecycle): Promise<void> {
  const isClosed = await Promise.race([
    lifecycle.close().then(() => true),
    waitUntil(clock, clock.now() + CLOSE_TIMEOUT_MS).then(() => false),
  ]);
  if (!isClosed) log.emit(BALANCER_EVENTS.closeFailed, { open: lifecycle.open() });
}

async function stopBalancer(
  { clock, log, stop }: ProcessParts,
  balancer: Balancer,
  graceMs: number,
): Promise<ProcessEnd> {
  const signal = await stop.requested;
  const callsRunning = balancer.calls.callsRunning();
  if (!balancer.isOpenToCalls() && callsRunning === 0)
    return { reason: `stopped by ${signal} before it was open to calls`, code: 0 };
  const startedAt = clock.now();
  balancer.beginStop(lastAnswerTime(startedAt, graceMs));
  log.emit(BALANCER_EVENTS.stopping, { signal, running: callsRunning });
  await drainCalls({ clock, events: log, calls: balancer.calls, startedAt, graceMs });
  log.emit(BALANCER_EVENTS.stopped);
  return { reason: `stopped by ${signal}`, code: 0 };
}

async function runWithSettings(
  parts: ProcessParts,
  initialSettings: BalancerSettings,
  lifecycle: Lifecycle,
): Promise<ProcessEnd> {
  const { command, adapter, clock, log, settingsReader } = parts;
  let settings = initialSettings;
  const seed = Number(process.hrtime.bigint() % 2n ** 31n);
  const { settingsFile } = command;
  if (settingsFile !== null) {
    let lastErrors = '';
    const stopWatching = watchSettings(settingsFile, settings['settings-check-ms'], clock, () => {
      const reread = settingsReader.read();
      const errors = 'errors' in reread ? reread.errors : [];
      // One line for each reason, although the file is read again until it is valid.
      if (errors.length > 0 && errors.join() !== lastErrors)
        log.emit(BALANCER_EVENTS.reloadFailed, { errors });
      lastErrors = errors.join();
      if (!('settings' in reread)) return false;
      settings = reread.settings;
      log.emit(BALANCER_EVENTS.reloaded, { seeds: settings.seeds });
      return true;
    });
    lifecycle.own('settings watch', stopWatching);
  }
  const balancer = await Balancer.start({
    ...{ settings, adapter, clock, events: log, lifecycle },
    systemTimes: SYSTEM_TIMES,
    random: new SeededRandom(seed),
    metrics: new PrometheusSink(),
    currentSettings: () => settings,
    droppedLines: () => log.droppedLines(),
  });
  log.emit(BALANCER_EVENTS.started, { zone: settings.zone, seed, seeds: settings.seeds });
  return stopBalancer(parts, balancer, settings['stop-grace-s'] * 1000);
}

async function run(parts: ProcessParts): Promise<ProcessEnd> {
  const { log, stop, settingsReader } = parts;
  const read = await settingsReader.readComplete(log, stop.signal);
  if (stop.signal.aborted) return { reason: `stopped by ${await stop.requested}`, code: 0 };
  if ('errors' in read) {
    process.stderr.write(`${read.errors.join('\n')}\n`);
    return { reason: read.errors.join('; '), code: EXIT_USAGE };
  }
  log.nameHost(read.settings['host-id']);
  const lifecycle = new Lifecycle();
  try {
    return await runWithSettings(parts, read.settings, lifecycle);
  } finally {
    await closeResources(parts, lifecycle);
  }
}

/**
 * Runs a balancer until SIGTERM or SIGINT; resolves to the exit code, after the last line of the log. It
 * never rejects.
 */
export async function runBalancer(
  command: BalancerCommand,
  adapter: BalancerAdapter,
): Promise<number> {
  if (command.arguments.includes('--help')) {
    process.stdout.write(`${helpText(BALANCER_SETTINGS)}\n`);
    return 0;
  }
  const clock = new SystemClock();
  const log = new ProcessLog(clock);
  logUncaughtErrors(log);
  const stop = listenToStopSignals();
  const settingsReader = new SettingsReader(command, clock);
  const { reason, code } = await run({ command, adapter, clock, log, stop, settingsReader }).catch(
    (error: unknown): ProcessEnd => ({ reason: inspect(error), code: EXIT_FAILURE }),
  );
  await log.end(reason, code);
  return code;
}
