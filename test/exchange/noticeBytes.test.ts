import { decodeMessage } from '../../src/exchange/datagramCodec';

import { SimulatedFleet } from './simulatedFleet';

const MAX_BYTES_PER_SECOND = 6000;
const UNIX_START = 1_765_000_000_000;
// A target leaves this long after the one before: 7,100 targets are replaced within an hour.
const STEP_MS = 500;
// A target ends this long after it said that it leaves, and another one starts in its place.
const GRACE_MS = 3000;
// Targets that leave while the bytes are measured.
const LEAVING = 16;
// The host that checks the health of a target and hosts that get its answers learn of it at once.
const FIRST_TO_LEARN = 3;

const targetId = (index: number) => `i-e0933785${String(index).padStart(2, '0')}`;

// The largest size takes half a minute and is for measurements.
const SIZES: readonly (readonly [size: number, zones: number])[] = [
  [17, 3],
  [113, 3],
  ...(process.env.PRINT_BYTES === undefined ? [] : [[312, 5] as const]),
];

function meanAndMost(bytes: readonly number[], seconds: number) {
  const total = bytes.reduce((sum, count) => sum + count, 0);
  return { mean: total / bytes.length / seconds, most: Math.max(...bytes) / seconds };
}

/** Bytes that a host sends a second, in the mean and at most: of all messages, and of notices. */
async function bytesDuring(fleet: SimulatedFleet, run: () => Promise<void>) {
  const hosts = [...fleet.network.hosts.values()];
  const startedAt = fleet.clock.now();
  const noticeBytes = new Map(hosts.map(({ address }) => [address.id, 0]));
  for (const host of hosts) host.sentBytes = 0;
  fleet.network.onSend = (bytes, from) => {
    if (decodeMessage(bytes)?.kind === 'notices')
      noticeBytes.set(from, noticeBytes.get(from)! + bytes.length);
  };
  await run();
  fleet.network.onSend = () => {};
  const seconds = (fleet.clock.now() - startedAt) / 1000;
  const all = hosts.map((host) => host.sentBytes);
  return {
    all: meanAndMost(all, seconds),
    notices: meanAndMost([...noticeBytes.values()], seconds),
  };
}

/** Lets one target after the other leave; returns the hosts that were not told of it in 100 ms. */
async function replaceTargets(fleet: SimulatedFleet): Promise<readonly string[]> {
  const unaware: string[] = [];
  for (let index = 0; index < LEAVING; index += 1) {
    const leaving = { id: targetId(index), startedAt: UNIX_START };
    const zoneHosts = fleet.network.liveHosts().filter(({ address }) => address.zone === 'a');
    for (let first = 0; first < FIRST_TO_LEARN; first += 1) {
      const host = zoneHosts[fleet.random.integer(zoneHosts.length)]!;
      if (host.targetStates.recordLeaving(leaving))
        host.exchange.broadcastNotices({ leaving: [leaving] });
    }
    await fleet.network.advance(100);
    for (const { address, targetStates } of fleet.network.liveHosts())
      if (!targetStates.isLeaving(leaving.id)) unaware.push(`${address.id} ${leaving.id}`);
    await fleet.network.advance(STEP_MS - 100);
    const ended = index - GRACE_MS / STEP_MS;
    if (ended >= 0) fleet.startTarget(targetId(ended), UNIX_START + fleet.clock.now());
  }
  return unaware;
}

describe('notices of targets that leave', () => {
  // Guards against notices that take more than a host may send while a release replaces targets, and
  // against hosts that are not told.
  it.each(SIZES)(
    'reach all of %d hosts in %d zones and stay within 6 KB/s a host',
    async (size, zones) => {
      const fleet = new SimulatedFleet(size, zones, 1);
      for (let index = 0; index < LEAVING; index += 1)
        fleet.startTarget(targetId(index), UNIX_START);
      await fleet.network.advance(5000);
      const atRest = await bytesDuring(fleet, () => fleet.network.advance(3000));
      let unaware: readonly string[] = [];
      const inRelease = await bytesDuring(fleet, async () => {
        unaware = await replaceTargets(fleet);
      });
      if (process.env.PRINT_BYTES) console.log(size, JSON.stringify({ atRest, inRelease }));
      expect(unaware).toEqual([]);
      expect(atRest.notices.most).toBe(0);
      expect(inRelease.all.mean).toBeLessThan(MAX_BYTES_PER_SECOND);
    },
    120_000,
  );
});
