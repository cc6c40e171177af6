import { credentials, Metadata, status } from '@grpc/grpc-js';
import bunyan from 'bunyan';

import { EventLog } from '../src/logging';
import { type MetricDefinition } from '../src/metrics';
import { type Beat, GrpcTransport, PEER_METRICS, PROTOCOL_VERSION } from '../src/peer';
import { PeerClient, type ReadRecordReply } from '../src/peer/generated/peer';
import { SeededRandom, SystemClock } from '../src/runtime';

const SECRET = 'a-secret-for-tests-only';
const events = new EventLog(bunyan.createLogger({ name: 'test', streams: [] }));
const clock = new SystemClock();

let counted: string[] = [];
const metrics = {
  increment: (metric: MetricDefinition) => counted.push(metric.name),
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

function collectBeats(transport: GrpcTransport): Beat[] {
  const beats: Beat[] = [];
  transport.startBeats(
    () => ({ epoch: 3, established: true, leaving: false }),
    (beat) => beats.push(beat),
  );
  return beats;
}

async function eventually(condition: () => boolean): Promise<void> {
  const until = clock.now() + 10_000;
  while (!condition()) {
    if (clock.now() > until) throw new Error('the condition was not met within 10 s');
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
}

beforeEach(() => {
  counted = [];
});

// Guards against a stopping host whose last change of the fleet opens connections that nobody closes,
// so that its process never ends.
test('a closed transport opens no connection', async () => {
  const listening = makeTransport('host-b');
  const address = await listen(listening);
  const beats = collectBeats(listening);
  const closed = makeTransport('host-a');
  collectBeats(closed);
  closed.close();
  closed.setPeers([{ hostId: 'host-b', address }]);
  await new Promise((resolve) => {
    setTimeout(resolve, 500);
  });
  closed.setPeers([]);
  listening.close();
  expect(beats).toEqual([]);
});

function readAs(address: string, secret: string, version: number): Promise<number> {
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

// Guards against control calls of processes that are no host of the fleet, or of an unknown kind.
test('a stranger and an unknown protocol version are refused and counted', async () => {
  const host = makeTransport('host-1');
  host.handle('readRecord', (): ReadRecordReply => ({ established: true }));
  const beats = collectBeats(host);
  const address = await listen(host);
  const stranger = makeTransport('host-0', 'another-secret-for-tests');
  collectBeats(stranger);
  try {
    expect(await readAs(address, SECRET, PROTOCOL_VERSION)).toBe(status.OK);
    expect(counted).toHaveLength(0);
    expect(await readAs(address, 'wrong', PROTOCOL_VERSION)).toBe(status.UNAUTHENTICATED);
    expect(await readAs(address, SECRET, PROTOCOL_VERSION + 1)).toBe(status.UNAUTHENTICATED);
    expect(await readAs(address, SECRET, 0)).toBe(status.UNAUTHENTICATED);
    expect(counted).toEqual(Array(3).fill(PEER_METRICS.refused.name));
    stranger.setPeers([{ hostId: 'host-1', address }]);
    await eventually(() => counted.length > 3);
    const refused = await stranger.fetchSheet('host-1', {
      wantedFingerprint: 'x',
      baseFingerprint: '',
    });
    expect(refused.err && refused.val.kind).toBe('refused');
    expect(beats).toHaveLength(0);
  } finally {
    stranger.close();
    host.close();
  }
});

// Guards against heartbeats that do not come back after a peer was replaced.
test('one stream carries heartbeats both ways and is opened again for a new process', async () => {
  const lower = makeTransport('host-1');
  const lowerBeats = collectBeats(lower);
  const lowerAddress = await listen(lower);
  let upper = makeTransport('host-2');
  const address = await listen(upper);
  let upperBeats = collectBeats(upper);
  try {
    lower.setPeers([{ hostId: 'host-2', address }]);
    upper.setPeers([{ hostId: 'host-1', address: lowerAddress }]);
    const echoed = (beats: Beat[]) => beats.some((beat) => beat.echoedAt !== null);
    await eventually(() => echoed(lowerBeats) && echoed(upperBeats));
    expect(upperBeats[0]).toMatchObject({ hostId: 'host-1', epoch: 3, established: true });
    upper.close();
    lowerBeats.length = 0;
    upper = makeTransport('host-2');
    upperBeats = collectBeats(upper);
    (await upper.listen('127.0.0.1', Number(address.split(':')[1]))).unwrap();
    await eventually(() => echoed(lowerBeats) && echoed(upperBeats));
  } finally {
    lower.close();
    upper.close();
  }
});
