import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { Writable } from 'node:stream';

import { type ReplicatedFleet } from '../fleet';
import { Lifecycle } from '../lifecycle';
import { BufferedWriter, createLogger, DecisionLog, EventLog } from '../logging';
import { SilentSink } from '../metrics';
import { type Clock, SeededRandom, SystemClock, waitUntil } from '../runtime';
import {
  formatSettingsError,
  GATEWAY_SETTINGS,
  type GatewaySettings,
  helpText,
  readSettings,
} from '../settings';

import { GATEWAY_EVENTS } from './events';
import { type GatewayParts, startGateway } from './gateway';
import { openFleet } from './openFleet';
import { RouterHandover } from './routerHandover';
import { VERSION } from './version';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;
const READY_POLL_MS = 50;
const LEAVE_LIMIT_MS = 3000;

function decisionOutput(path: string): Writable {
  if (path === '-') return process.stdout;
  if (path === '') return new Writable({ write: (_chunk, _encoding, done) => done() });
  return createWriteStream(path, { flags: 'a' });
}

/** Reports the first moment at which callers may be sent here. */
async function reportReady(
  fleet: ReplicatedFleet,
  clock: Clock,
  events: EventLog,
  signal: AbortSignal,
): Promise<void> {
  while (!fleet.isReady() && !signal.aborted) {
    await waitUntil(clock, clock.now() + READY_POLL_MS, signal);
  }
  if (fleet.isReady()) events.emit(GATEWAY_EVENTS.ready, { epoch: fleet.view()?.record.epoch });
}

/** Aborted by the first SIGTERM or SIGINT. */
function stopSignal(): AbortSignal {
  const stop = new AbortController();
  process.once('SIGTERM', () => stop.abort());
  process.once('SIGINT', () => stop.abort());
  return stop.signal;
}

async function serve(
  settings: GatewaySettings,
  fleet: ReplicatedFleet,
  tools: Omit<GatewayParts, 'fleet'>,
  signal: AbortSignal,
): Promise<number> {
  const { clock, events } = tools;
  const gateway = await startGateway(settings, { ...tools, fleet });
  if (gateway.err) {
    events.emit(GATEWAY_EVENTS.startFailed, { ...gateway.val });
    return EXIT_FAILURE;
  }
  await reportReady(fleet, clock, events, signal);
  if (!signal.aborted) await once(signal, 'abort');
  await fleet.leave(clock.now() + Math.min(LEAVE_LIMIT_MS, settings['stop-limit']));
  await gateway.val.close();
  return 0;
}

async function run(settings: GatewaySettings): Promise<number> {
  const events = new EventLog(
    createLogger('limpetknot-gateway', settings['host-id'], settings['log-level']),
  );
  const signal = stopSignal();
  const clock = new SystemClock();
  const random = new SeededRandom(settings['random-seed'] || process.pid);
  const writer = new BufferedWriter(decisionOutput(settings['decision-log']));
  const hostId = settings['host-id'];
  const decisions = new DecisionLog(writer, 'limpetknot-gateway', hostId, () => new Date());
  const lifecycle = new Lifecycle();
  lifecycle.own('decision log', () => writer.close());
  const handover = new RouterHandover();
  const parts = { clock, random, events, metrics: new SilentSink(), lifecycle, handover };
  const opened = await openFleet(settings, parts, signal);
  let exitCode = signal.aborted ? 0 : EXIT_FAILURE;
  if (opened.ok) {
    const { fleet, transport } = opened.val;
    exitCode = await serve(settings, fleet, { ...parts, decisions, transport }, signal);
  } else events.emit(GATEWAY_EVENTS.startFailed, { reason: opened.val });
  await lifecycle.close();
  events.emit(GATEWAY_EVENTS.stopped);
  return exitCode;
}

/** Entry point of limpetknot-gateway; returns the exit code. */
export async function main(argumentList: readonly string[]): Promise<number> {
  if (argumentList.includes('--help')) {
    process.stdout.write(
      `Usage: limpetknot-gateway [settings]\n\nSettings:\n${helpText(GATEWAY_SETTINGS)}\n`,
    );
    return 0;
  }
  if (argumentList.includes('--version')) {
    process.stdout.write(`limpetknot-gateway ${VERSION}\n`);
    return 0;
  }
  const settings = readSettings(GATEWAY_SETTINGS, {
    arguments: argumentList,
    environment: process.env,
  });
  if (settings.err) {
    for (const error of settings.val) process.stderr.write(`${formatSettingsError(error)}\n`);
    return EXIT_USAGE;
  }
  return run(settings.val.values);
}
