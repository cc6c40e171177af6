import { Membership } from '../../src/exchange/membership';
import { type Heartbeat } from '../../src/exchange/message';
import { TargetSubsets } from '../../src/knowledge';
import { ManualClock } from '../../src/runtime';

const REPLACED_HOSTS = 400;
const REPLACEMENT_MS = 2 * 60 * 1000;
// Silent hosts are contacted for two hours.
const MAX_KEPT = 70;

function heartbeat(id: string): Heartbeat {
  return {
    kind: 'heartbeat',
    host: [id, 'a', '10.0.0.1'],
    ...{ incarnation: 1, asOf: 0, newest: 0, fingerprint: 0, source: 'idle' },
    ...{ isLeaving: false, zoneSize: 2 },
  };
}

describe('hosts that are replaced day after day', () => {
  // Guards against memory, and processor time of each datagram, that grow with all hosts ever seen.
  it('are forgotten by the membership', () => {
    const clock = new ManualClock();
    const membership = new Membership(clock, { id: 'own', zone: 'a', ip: '10.0.0.2' });
    for (let index = 0; index < REPLACED_HOSTS; index += 1) {
      membership.applyHeartbeat(heartbeat(`host-${index}`), '10.0.0.1');
      clock.advanceBy(REPLACEMENT_MS);
      membership.silentHosts();
    }
    const { hosts, idsByKey } = membership as unknown as Record<string, Map<unknown, unknown>>;
    expect(hosts!.size).toBeLessThanOrEqual(MAX_KEPT);
    expect(idsByKey!.size).toBeLessThanOrEqual(MAX_KEPT);
    expect(membership.silentHosts().at(-1)?.id).toBe(`host-${REPLACED_HOSTS - 1}`);
  });

  // Guards against memory of the subsets that grows in the same way.
  it('are forgotten by the subsets of the targets', () => {
    let hosts: readonly string[] = [];
    const subsets = new TargetSubsets({ hostId: 'own', zone: 'a', hosts: () => hosts });
    const target = { id: 't', service: 's', zone: 'a', slots: 6 };
    subsets.applyCatalog({ targets: new Map([['t', target]]) } as never);
    for (let index = 0; index < REPLACED_HOSTS; index += 1) {
      hosts = ['own', `host-${index}`];
      subsets.refresh();
    }
    const { scores } = subsets as unknown as { scores: Map<string, Map<string, number>> };
    expect(scores.get('t')!.size).toBe(2);
  });
});
