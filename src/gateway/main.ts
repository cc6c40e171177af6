import { createWriteStream } from 'node:fs';
import { Writable } from 'node:stream';

import { Agent } from 'undici';

import { FixedFleet } from '../fleet';
import { BufferedWriter, createLogger, DecisionLog, EventLog } from '../logging';
import { readConfiguration } from '../platform';
import { SeededRandom, SystemClock } from '../runtime';
import {
  formatSettingsError,
  GATEWAY_SETTINGS,
  type GatewaySettings,
  helpText,
  readSettings,
} from '../settings';
import { parseSheet, type Sheet } from '../sheet';

import { GATEWAY_EVENTS } from './events';
import { startGateway } from './gateway';
import { VERSION } from './version';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

function decisionOutput(path: string): Writable {
  if (path === '-') return process.stdout;
  if (path === '') return new Writable({ write: (_chunk, _encoding, done) => done() });
  return createWriteStream(path, { flags: 'a' });
}

async function readSheet(settings: GatewaySettings): Promise<Sheet | string> {
  const dispatcher = new Agent();
  const published = await readConfiguration({
    url: settings['configuration-url'],
    after: null,
    waitSeconds: 0,
    dispatcher,
    signal: new AbortController().signal,
  });
  await dispatcher.close();
  if (published.err) return published.val.detail;
  const sheet = parseSheet(published.val?.text ?? '');
  return sheet.ok ? sheet.val : `the published sheet is not valid: ${sheet.val.length} mistakes`;
}

async function run(settings: GatewaySettings): Promise<number> {
  const events = new EventLog(
    createLogger('limpetknot-gateway', settings['host-id'], settings['log-level']),
  );
  const sheet = await readSheet(settings);
  if (typeof sheet === 'string') {
    events.emit(GATEWAY_EVENTS.startFailed, { reason: sheet });
    return EXIT_FAILURE;
  }
  const writer = new BufferedWriter(decisionOutput(settings['decision-log']));
  const gateway = await startGateway(settings, {
    clock: new SystemClock(),
    random: new SeededRandom(settings['random-seed'] || process.pid),
    events,
    decisions: new DecisionLog(writer, 'limpetknot-gateway', settings['host-id'], () => new Date()),
    fleet: new FixedFleet(settings['host-id'], sheet),
  });
  if (gateway.err) {
    events.emit(GATEWAY_EVENTS.startFailed, { ...gateway.val });
    return EXIT_FAILURE;
  }
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
  await gateway.val.close();
  await writer.close();
  events.emit(GATEWAY_EVENTS.stopped);
  return 0;
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
