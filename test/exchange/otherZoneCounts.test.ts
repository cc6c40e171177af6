import { decodeMessage } from '../../src/exchange/datagramCodec';
import { identityKey } from '../../src/knowledge';
import { ManualClock, SeededRandom } from '../../src/runtime';

import { SimulatedHosts } from './simulatedHosts';

const ZONES = ['a', 'b', 'c'];
const HOSTS = 17;
const TARGET = identityKey('t');
const SEEDS = (process.env.SEED ?? '1,2,3,4,5').split(',').map(Number);
// Batches of urgent counts to other zones, the ways between hosts, and the batch of a relay.
const KNOWN_AFTER_MS = 10;
// A host that starts is not ready earlier.
const START_MS = 150;

function startHost(network: SimulatedHosts, index: number): void {
  network.start(`host-${index}`, ZONES[index % ZONES.length]!, `10.0.0.${index}`);
}

function unaware(network: SimulatedHosts, caller: string): readonly string[] {
  return network
    .liveHosts()
    .filter(({ address }) => address.id !== caller)
    .filter(({ inFlightTable }) => inFlightTable.callsAt(TARGET) !== 1)
    .map(({ address }) => address.id);
}

describe('the calls in flight of hosts of other zones', () => {
  // Guards against targets that are overloaded by calls of hosts which do not know of each other, above
  // all of one that has just started, whose address the other zones do not know yet.
  it.each(SEEDS)('are known to all hosts in milliseconds, seed %d', async (seed) => {
    const network = new SimulatedHosts(new ManualClock(), new SeededRandom(seed), ZONES, () => [
      '10.0.0.1',
    ]);
    for (let index = 0; index < HOSTS; index += 1) startHost(network, index);
    await network.advance(3000 + 37 * seed);
    for (const caller of ['host-0', 'host-4']) {
      const { inFlightBroadcaster } = network.hosts.get(caller)!;
      inFlightBroadcaster.recordCalls(TARGET, 1, 0, true);
      await network.advance(KNOWN_AFTER_MS);
      expect(unaware(network, caller)).toEqual([]);
      inFlightBroadcaster.recordCalls(TARGET, 0, 0, true);
      await network.advance(KNOWN_AFTER_MS);
      startHost(network, HOSTS);
      await network.advance(START_MS);
      inFlightBroadcaster.recordCalls(TARGET, 1, 0, true);
      await network.advance(KNOWN_AFTER_MS);
      expect(unaware(network, caller)).toEqual([]);
      network.kill(`host-${HOSTS}`);
      inFlightBroadcaster.recordCalls(TARGET, 0, 0, true);
      await network.advance(5000);
    }
  });

  // Guards against one host that sends what all others say, at three times the bytes of the others.
  it('reach hosts that are known without a relay', async () => {
    const network = new SimulatedHosts(new ManualClock(), new SeededRandom(1), ZONES, () => [
      '10.0.0.1',
    ]);
    for (let index = 0; index < HOSTS; index += 1) startHost(network, index);
    await network.advance(3000);
    let relayed = 0;
    let received = 0;
    network.onSend = (bytes) => {
      const message = decodeMessage(bytes);
      if (message?.kind !== 'flights') return;
      received += 1;
      if (message.shouldRebroadcast === true || message.counts.length > 0) relayed += 1;
    };
    network.hosts.get('host-0')!.inFlightBroadcaster.recordCalls(TARGET, 1, 0, true);
    await network.advance(KNOWN_AFTER_MS);
    expect([received, relayed]).toEqual([HOSTS - 1, 0]);
  });
});
