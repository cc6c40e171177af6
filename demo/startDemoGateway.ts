import { Writable } from 'node:stream';

import {
  BufferedWriter,
  createLogger,
  DecisionLog,
  EventLog,
  GATEWAY_SETTINGS,
  Lifecycle,
  readSettings,
  type ReplicatedFleet,
  SeededRandom,
  SilentSink,
  startGateway,
  SystemClock,
} from '../src';
import { openFleet } from '../src/gateway/openFleet';
import { RouterHandover } from '../src/gateway/routerHandover';
import { gatewayFlags, type SheetHost } from '../standins';

/** A gateway that runs in the demo process. */
export interface DemoGateway {
  readonly host: SheetHost;
  readonly fleet: ReplicatedFleet;
  close(): Promise<void>;
}

function settingsOf(host: SheetHost, platformUrl: string) {
  const flags = gatewayFlags(host, platformUrl, {
    'peer-secret': 'a-secret-for-the-demo-only',
    'log-level': 'warn',
    'notice-period': 0,
  });
  return readSettings(GATEWAY_SETTINGS, {
    arguments: flags,
    environment: {},
  }).unwrap().values;
}

function discardingDecisionLog(hostId: string): DecisionLog {
  const discard = new Writable({ write: (_chunk, _encoding, done) => done() });
  return new DecisionLog(new BufferedWriter(discard), 'limpetknot-demo', hostId, () => new Date());
}

/** Starts a gateway through the library API; its decision log is discarded. */
export async function startDemoGateway(
  host: SheetHost,
  platformUrl: string,
  seed: number,
): Promise<DemoGateway> {
  const settings = settingsOf(host, platformUrl);
  const lifecycle = new Lifecycle();
  const dependencies = {
    clock: new SystemClock(),
    random: new SeededRandom(seed),
    events: new EventLog(createLogger('limpetknot-demo', host.id, 'warn')),
    metrics: new SilentSink(),
    handover: new RouterHandover(),
  };
  const fleet = await openFleet(
    settings,
    { ...dependencies, lifecycle },
    new AbortController().signal,
  );
  if (fleet.err) throw new Error(`${host.id} did not join the fleet: ${fleet.val}`);
  const started = await startGateway(settings, {
    ...dependencies,
    decisions: discardingDecisionLog(host.id),
    fleet: fleet.val.fleet,
    transport: fleet.val.transport,
  });
  if (started.err) throw new Error(`${host.id} did not start: ${JSON.stringify(started.val)}`);
  const close = async () => {
    await started.val.close();
    await lifecycle.close();
  };
  return { host, fleet: fleet.val.fleet, close };
}
