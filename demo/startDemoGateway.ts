import { Writable } from 'node:stream';

import {
  BufferedWriter,
  createLogger,
  DecisionLog,
  EventLog,
  type Fleet,
  FixedFleet,
  type Gateway,
  GATEWAY_SETTINGS,
  readSettings,
  SeededRandom,
  type Sheet,
  startGateway,
  SystemClock,
} from '../src';
import { type SheetHost } from '../standins';

/** A gateway in the process of the demo. */
export interface DemoGateway {
  readonly host: SheetHost;
  readonly fleet: Fleet;
  readonly gateway: Gateway;
}

function settingsOf(host: SheetHost, platformUrl: string) {
  const flags = {
    'host-id': host.id,
    zone: host.zone,
    'caller-port': host.callerPort,
    'relay-port': host.relayPort,
    'peer-port': host.peerPort,
    'operator-port': host.operatorPort,
    'configuration-url': platformUrl,
    'host-list-url': platformUrl,
    'peer-secret': 'a-secret-for-the-demo-only',
    'log-level': 'warn',
    'notice-period': 0,
  };
  return readSettings(GATEWAY_SETTINGS, {
    arguments: Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]),
    environment: {},
  }).unwrap().values;
}

/** Starts a gateway through the library; its decisions are not written. */
export async function startDemoGateway(
  host: SheetHost,
  sheet: Sheet,
  platformUrl: string,
  seed: number,
): Promise<DemoGateway> {
  const discard = new Writable({ write: (_chunk, _encoding, done) => done() });
  const fleet = new FixedFleet(host.id, sheet);
  const started = await startGateway(settingsOf(host, platformUrl), {
    clock: new SystemClock(),
    random: new SeededRandom(seed),
    events: new EventLog(createLogger('limpetknot-demo', host.id, 'warn')),
    decisions: new DecisionLog(
      new BufferedWriter(discard),
      'limpetknot-demo',
      host.id,
      () => new Date(),
    ),
    fleet,
  });
  if (started.err) throw new Error(`${host.id} did not start: ${JSON.stringify(started.val)}`);
  return { host, fleet, gateway: started.val };
}
