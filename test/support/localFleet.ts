import Logger from 'bunyan';
import { Writable } from 'node:stream';

import { freePort, type SheetService, sheetText } from '../../standins';
import { FixedFleet, type Fleet } from '../../src/fleet';
import { type RequestLimits } from '../../src/forwarding';
import { BufferedWriter, DecisionLog, EventLog } from '../../src/logging';
import { startGateway, type Gateway, type GatewayParts } from '../../src/gateway';
import { type PeerTransport } from '../../src/peer';
import { SeededRandom, SystemClock } from '../../src/runtime';
import { GATEWAY_SETTINGS, readSettings } from '../../src/settings';
import { parseSheet, type Sheet } from '../../src/sheet';

/** Gateways of one fleet that run in the test process. */
export interface LocalFleet {
  readonly gateways: readonly Gateway[];
  /** Base URLs of the caller ports, in the order of `gateways`. */
  readonly urls: readonly string[];
  readonly sheet: Sheet;
  stop(): Promise<void>;
}

/** Options of a local fleet. */
export interface LocalFleetOptions {
  readonly hosts?: number;
  readonly services: readonly SheetService[];
  readonly requestLimits?: RequestLimits;
  /** Peer transport of a host; without one, idempotency keys are not claimed. */
  readonly transport?: (hostId: string) => Pick<PeerTransport, 'call' | 'handle'>;
  /** Edits the text of the sheet, for instance to add operations. */
  readonly sheet?: (text: string) => string;
  /** Wraps the `Fleet` of a host, for instance to make its view expire. */
  readonly fleet?: (hostId: string, fleet: Fleet) => Fleet;
}

function gatewayParts(fleet: Fleet, hostId: string, options: LocalFleetOptions): GatewayParts {
  const discardedOutput = new Writable({ write: (_chunk, _encoding, done) => done() });
  const logger = Logger.createLogger({ name: 'test', streams: [] });
  return {
    clock: new SystemClock(),
    random: new SeededRandom(1),
    events: new EventLog(logger),
    decisions: new DecisionLog(
      new BufferedWriter(discardedOutput),
      'test',
      hostId,
      () => new Date(),
    ),
    fleet,
    requestLimits: options.requestLimits,
    transport: options.transport?.(hostId),
  };
}

/** Starts gateways on free loopback ports; the fleet has a fixed membership. */
export async function startLocalFleet(options: LocalFleetOptions): Promise<LocalFleet> {
  const hosts = await Promise.all(
    Array.from({ length: options.hosts ?? 1 }, async (_none, index) => ({
      id: `host-${index + 1}`,
      zone: 'zone-1',
      callerPort: await freePort(),
      relayPort: await freePort(),
      peerPort: 10_001 + index,
      operatorPort: 20_001 + index,
    })),
  );
  const text = sheetText({ version: 1, zones: ['zone-1'], hosts, services: options.services });
  const sheet = parseSheet((options.sheet ?? ((same) => same))(text)).unwrap();
  const gateways: Gateway[] = [];
  for (const host of hosts) {
    const settings = readSettings(GATEWAY_SETTINGS, {
      arguments: [
        ...['--host-id', host.id, '--zone', host.zone, '--peer-secret', 'a-secret-for-tests-only'],
        ...['--caller-port', String(host.callerPort), '--relay-port', String(host.relayPort)],
        ...['--configuration-url', 'http://127.0.0.1:1', '--host-list-url', 'http://127.0.0.1:1'],
      ],
      environment: {},
    }).unwrap().values;
    const fixed = new FixedFleet(host.id, sheet);
    const fleet = options.fleet?.(host.id, fixed) ?? fixed;
    gateways.push((await startGateway(settings, gatewayParts(fleet, host.id, options))).unwrap());
  }
  return {
    gateways,
    sheet,
    urls: hosts.map((host) => `http://127.0.0.1:${host.callerPort}`),
    stop: async () => {
      for (const gateway of gateways) await gateway.close();
    },
  };
}
