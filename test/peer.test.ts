import { credentials, Metadata, status } from '@grpc/grpc-js';
import bunyan from 'bunyan';

import { EventLog } from '../src/logging';
import { type MetricDefinition } from '../src/metrics';
import { type ReceivedHeartbeat, GrpcTransport, PEER_METRICS, PROTOCOL_VERSION } from '../src/peer';
import { PeerClient, type ReadRecordReply } from '../src/peer/generated/peer';
import { SeededRandom, SystemClock } from '../src/runtime';

const SECRET = 'a-secret-for-tests-only';
const events = new EventLog(bunyan.createLogger({ name: 'test', streams: [] }));
const clock = new SystemClock();

let countedMetrics: string[] = [];
const metrics = {
  increment: (metric: MetricDefinition) => countedMetrics.push(metric.name),
  gauge: () => {},
  timing: () => {},
};

function makeTransport(hostId: string, secret = SECRET): GrpcTransport {
  const random = new SeededRandom(1);
  return new GrpcTransport({ hostId, incarnation: hostId, secret, clock, random, events, metrics });
}

async function listen(transport: GrpcTransport): Promise<string> {
  return `127.0.0.1:${(await transport.listen('127.0.0.1', 0)).unwrap()}`;
}

function collectHeartbeats(transport: GrpcTransport): ReceivedHeartbeat[] {
  const heartbeats: ReceivedHeartbeat[] = [];
  transport.startHeartbeats(
    () => ({ epoch: 3, established: true, leaving: false }),
    (heartbeat) => heartbeats.push(heartbeat),
  );
  return heartbeats;
}

async function waitFor(condition: () => boolean): Promise<void> {
  const until = clock.now() + 10_000;
  while (!condition()) {
    if (clock.now() > until) throw new Error('condition was not met within 10 s');
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
}

beforeEach(() => {
  countedMetrics = [];
});

// Guards against a process that never exits because a change of the fleet during shutdown opened
// connections that were never closed.
test('a closed transport opens no connection', async () => {
  const listening = makeTransport('host-b');
  const address = await listen(listening);
  const heartbeats = collectHeartbeats(listening);
  const closed = makeTransport('host-a');
  collectHeartbeats(closed);
  closed.close();
  closed.setPeers([{ hostId: 'host-b', address }]);
  await new Promise((resolve) => {
    setTimeout(resolve, 500);
  });
  closed.setPeers([]);
  listening.close();
  expect(heartbeats).toEqual([]);
});

function readRecordStatus(address: string, secret: string, version: number): Promise<number> {
  const client = new PeerClient(address, credentials.createInsecure());
  const metadata = new Metadata();
  metadata.set('limpetknot-secret', secret);
  metadata.set('limpetknot-protocol', String(version));
  return new Promise((resolve) => {
    client.readRecord({}, metadata, (error) => {
      client.close();
      resolve(error?.code ?? status.OK);
    });
  });
}

// Guards against accepting control calls from outside the fleet or of an unknown protocol version.
test('a wrong secret and an unknown protocol version are refused and counted', async () => {
  const host = makeTransport('host-1');
  host.handle('readRecord', (): ReadRecordReply => ({ established: true }));
  const heartbeats = collectHeartbeats(host);
  const address = await listen(host);
  const unauthenticatedHost = makeTransport('host-0', 'another-secret-for-tests');
  collectHeartbeats(unauthenticatedHost);
  try {
    expect(await readRecordStatus(address, SECRET, PROTOCOL_VERSION)).toBe(status.OK);
    expect(countedMetrics).toHaveLength(0);
    expect(await readRecordStatus(address, 'wrong', PROTOCOL_VERSION)).toBe(status.UNAUTHENTICATED);
    expect(await readRecordStatus(address, SECRET, PROTOCOL_VERSION + 1)).toBe(
      status.UNAUTHENTICATED,
    );
    expect(await readRecordStatus(address, SECRET, 0)).toBe(status.UNAUTHENTICATED);
    expect(countedMetrics).toEqual(Array(3).fill(PEER_METRICS.refused.name));
    unauthenticatedHost.setPeers([{ hostId: 'host-1', address }]);
    await waitFor(() => countedMetrics.length > 3);
    const refused = await unauthenticatedHost.fetchSheet('host-1', {
      wantedFingerprint: 'x',
      baseFingerprint: '',
    });
    expect(refused.err && refused.val.kind).toBe('refused');
    expect(heartbeats).toHaveLength(0);
  } finally {
    unauthenticatedHost.close();
    host.close();
  }
});

// Guards against heartbeats that do not resume after a peer was restarted.
test('one stream carries heartbeats both ways and is reopened when the peer restarts', async () => {
  const lower = makeTransport('host-1');
  const lowerHeartbeats = collectHeartbeats(lower);
  const lowerAddress = await listen(lower);
  let upper = makeTransport('host-2');
  const address = await listen(upper);
  let upperHeartbeats = collectHeartbeats(upper);
  try {
    lower.setPeers([{ hostId: 'host-2', address }]);
    upper.setPeers([{ hostId: 'host-1', address: lowerAddress }]);
    const echoed = (heartbeats: ReceivedHeartbeat[]) =>
      heartbeats.some((heartbeat) => heartbeat.echoedAt !== null);
    await waitFor(() => echoed(lowerHeartbeats) && echoed(upperHeartbeats));
    expect(upperHeartbeats[0]).toMatchObject({ hostId: 'host-1', epoch: 3, established: true });
    upper.close();
    lowerHeartbeats.length = 0;
    upper = makeTransport('host-2');
    upperHeartbeats = collectHeartbeats(upper);
    (await upper.listen('127.0.0.1', Number(address.split(':')[1]))).unwrap();
    await waitFor(() => echoed(lowerHeartbeats) && echoed(upperHeartbeats));
  } finally {
    lower.close();
    upper.close();
  }
});
