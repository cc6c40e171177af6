import { createWriteStream } from 'node:fs';
import { Writable } from 'node:stream';
import { inspect } from 'node:util';

import { Lifecycle } from '../lifecycle';
import { BufferedWriter, createLogger, DecisionLog, EventLog } from '../logging';
import { SilentSink, StatsdSink } from '../metrics';
import { SeededRandom, SystemClock } from '../runtime';
import {
  formatSettingsError,
  GATEWAY_SETTINGS,
  type GatewaySettings,
  helpText,
  readSettings,
} from '../settings';

import { GATEWAY_EVENTS } from './events';
import { startGateway } from './gateway';
import { type FleetParts, openFleet } from './openFleet';
import { RouterHandover } from './routerHandover';
import { serve } from './serve';
import { listenToStopSignals } from './stopSignals';
import { VERSION } from './version';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

function openDecisionOutput(path: string): Writable {
  if (path === '-') return process.stdout;
  if (path === '') return new Writable({ write: (_chunk, _encoding, done) => done() });
  return createWriteStream(path, { flags: 'a' });
}

function createMetricsSink(settings: GatewaySettings, events: EventLog): StatsdSink | null {
  const address = settings['statsd-address'];
  if (address === '') return null;
  const { hostname, port } = new URL(`udp://${address}`);
  return new StatsdSink(hostname, Number(port), (error) =>
    events.emit(GATEWAY_EVENTS.metricsFailed, { error: error.message }),
  );
}

/** Joins the fleet and serves until stopped; returns the exit code. */
async function joinAndServe(
  settings: GatewaySettings,
  parts: Omit<FleetParts, 'handover'>,
  decisions: DecisionLog,
): Promise<number> {
  const signals = listenToStopSignals();
  const { events } = parts;
  const handover = new RouterHandover();
  const openedFleet = await openFleet(settings, { ...parts, handover }, signals.first);
  if (openedFleet.err) {
    if (!signals.first.aborted)
      events.emit(GATEWAY_EVENTS.startFailed, { reason: openedFleet.val });
    return signals.first.aborted ? 0 : EXIT_FAILURE;
  }
  const { dispatcher, fleet, transport } = openedFleet.val;
  const dependencies = { ...parts, handover, decisions, fleet, transport, signal: signals.first };
  const gateway = await startGateway(settings, dependencies);
  if (gateway.err) {
    if (signals.first.aborted) return 0;
    events.emit(GATEWAY_EVENTS.startFailed, { ...gateway.val });
    return EXIT_FAILURE;
  }
  const running = { ...parts, settings, fleet, gateway: gateway.val };
  return serve(running, dispatcher, signals);
}

async function runGateway(settings: GatewaySettings): Promise<number> {
  const hostId = settings['host-id'];
  const events = new EventLog(createLogger('limpetknot-gateway', hostId, settings['log-level']));
  // Only logs: Node.js ends the process with code 1 afterwards.
  process.on('uncaughtExceptionMonitor', (error: unknown) =>
    events.emit(GATEWAY_EVENTS.failed, { reason: inspect(error), code: EXIT_FAILURE }),
  );
  const lifecycle = new Lifecycle();
  const writer = new BufferedWriter(openDecisionOutput(settings['decision-log']));
  lifecycle.own('decision log', () => writer.close());
  const statsd = createMetricsSink(settings, events);
  if (statsd !== null) lifecycle.own('metrics', () => statsd.close());
  const parts = {
    clock: new SystemClock(),
    random: new SeededRandom(settings['random-seed'] || process.pid),
    events,
    metrics: statsd ?? new SilentSink(),
    lifecycle,
  };
  const decisions = new DecisionLog(writer, 'limpetknot-gateway', hostId, () => new Date());
  const exitCode = await joinAndServe(settings, parts, decisions);
  await lifecycle.close();
  events.emit(GATEWAY_EVENTS.stopped, { code: exitCode });
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
  return runGateway(settings.val.values);
}
