import { Lifecycle } from '../lifecycle';
import { BufferedWriter, LineLog } from '../logging';
import { PrometheusSink } from '../metrics';
import { type Clock, SeededRandom, SystemClock, waitUntil } from '../runtime';
import {
  BALANCER_SETTINGS,
  type BalancerSettings,
  formatSettingsError,
  helpText,
  readSettings,
  readSettingsFile,
} from '../settings';

import { Balancer } from './balancer';
import { type BalancerAdapter } from './balancerAdapter';
import { BALANCER_EVENTS } from './events';
import { openLogOutput } from './logOutput';
import { waitForStopSignal } from './processSignals';
import { drainCalls, lastAnswerTime } from './stop';
import { watchSettings } from './watchSettings';

// The platform may be writing the settings file while the process starts.
const SETTINGS_TIMEOUT_MS = 2000;
const SETTINGS_RETRY_MS = 50;
// A resource that does not close must not keep the process alive until it is killed.
const CLOSE_TIMEOUT_MS = 150;
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;
// Bounds the memory for lines that wait for a slow reader of the log.
const LOG_BUFFER_BYTES = 1024 * 1024;

/** Inputs of the process: arguments, environment and settings file. */
export interface BalancerCommand {
  readonly arguments: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Path of the settings file; null when there is none. */
  readonly settingsFile: string | null;
}

function readAllSettings(command: BalancerCommand) {
  const file = command.settingsFile === null ? null : readSettingsFile(command.settingsFile);
  if (file !== null && file.err) return { errors: [file.val] };
  const { environment } = command;
  const source = { arguments: command.arguments, environment, file: file?.val ?? {} };
  const read = readSettings(BALANCER_SETTINGS, source);
  return read.ok ? { settings: read.val.values } : { errors: read.val.map(formatSettingsError) };
}

async function readCompleteSettings(command: BalancerCommand, clock: Clock) {
  const deadline = clock.now() + SETTINGS_TIMEOUT_MS;
  let read = readAllSettings(command);
  while (read.settings === undefined && command.settingsFile !== null && clock.now() < deadline) {
    await waitUntil(clock, clock.now() + SETTINGS_RETRY_MS);
    read = readAllSettings(command);
  }
  return read;
}

async function run(
  command: BalancerCommand,
  initialSettings: BalancerSettings,
  adapter: BalancerAdapter,
  stopRequested: Promise<NodeJS.Signals>,
): Promise<number> {
  let settings = initialSettings;
  const clock = new SystemClock();
  const seed = Number(process.hrtime.bigint() % 2n ** 31n);
  const writer = new BufferedWriter(openLogOutput(), LOG_BUFFER_BYTES);
  const events = new LineLog(writer, 'limpetknot', settings['host-id'], () => new Date());
  const lifecycle = new Lifecycle();
  lifecycle.own('log', () => writer.close());
  process.on('uncaughtException', (error) => {
    events.emit(BALANCER_EVENTS.unexpected, { reason: error.message, stack: error.stack });
  });
  const { settingsFile } = command;
  if (settingsFile !== null) {
    const stopWatching = watchSettings(settingsFile, settings['settings-check-ms'], clock, () => {
      const reread = readAllSettings(command);
      if (reread.settings === undefined) {
        events.emit(BALANCER_EVENTS.reloadFailed, { errors: reread.errors });
        return;
      }
      settings = reread.settings;
      events.emit(BALANCER_EVENTS.reloaded, { seeds: settings.seeds });
    });
    lifecycle.own('settings watch', stopWatching);
  }
  const started = await Balancer.start({
    ...{ settings, adapter, clock, events, lifecycle },
    random: new SeededRandom(seed),
    metrics: new PrometheusSink(),
    seeds: () => settings.seeds,
    droppedLines: () => writer.droppedLines(),
  });
  if (started.err) {
    events.emit(BALANCER_EVENTS.startFailed, { reason: started.val });
    process.stderr.write(`${started.val}\n`);
    await lifecycle.close();
    return EXIT_FAILURE;
  }
  const balancer = started.val;
  events.emit(BALANCER_EVENTS.started, { zone: settings.zone, seed, seeds: settings.seeds });
  const signal = await stopRequested;
  const startedAt = clock.now();
  const graceMs = settings['stop-grace-s'] * 1000;
  balancer.beginStop(lastAnswerTime(startedAt, graceMs));
  events.emit(BALANCER_EVENTS.stopping, { signal, running: balancer.calls.callsRunning() });
  await drainCalls({ clock, events, calls: balancer.calls, startedAt, graceMs });
  events.emit(BALANCER_EVENTS.stopped);
  const isClosed = await Promise.race([
    lifecycle.close().then(() => true),
    waitUntil(clock, clock.now() + CLOSE_TIMEOUT_MS).then(() => false),
  ]);
  if (!isClosed) {
    events.emit(BALANCER_EVENTS.closeFailed, { open: lifecycle.open() });
    await writer.close();
  }
  return 0;
}

/** Runs a balancer until SIGTERM or SIGINT; resolves to the exit code. */
export async function runBalancer(
  command: BalancerCommand,
  adapter: BalancerAdapter,
): Promise<number> {
  if (command.arguments.includes('--help')) {
    process.stdout.write(`${helpText(BALANCER_SETTINGS)}\n`);
    return 0;
  }
  const stopRequested = waitForStopSignal();
  const read = await readCompleteSettings(command, new SystemClock());
  if (read.settings === undefined) {
    process.stderr.write(`${read.errors.join('\n')}\n`);
    return EXIT_USAGE;
  }
  return run(command, read.settings, adapter, stopRequested);
}
