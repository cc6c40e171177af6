import { assignOwners, groupOwners } from '../../src/fleet';
import { parseSheet } from '../../src/sheet';
import { sheetText } from '../../standins';

const ZONES = ['zone-1', 'zone-2', 'zone-3'];
const HOSTS = Array.from({ length: 9 }, (_unused, index) => ({
  id: `host-${index}`,
  zone: ZONES[index % 3]!,
  callerPort: 10_000 + index,
  relayPort: 11_000 + index,
  peerPort: 12_000 + index,
  operatorPort: 13_000 + index,
}));
const TEXT = sheetText({
  version: 1,
  zones: ZONES,
  hosts: HOSTS,
  services: [
    {
      name: 'round-sheet',
      targets: Array.from({ length: 30 }, (_unused, index) => ({
        id: `t-${index}`,
        zone: ZONES[index % 3]!,
        port: 20_000 + index,
      })),
    },
  ],
});
const SHEET = parseSheet(TEXT).unwrap();
const ALL = HOSTS.map((host) => host.id);

// Guards against cross-zone relays while the target's own zone has a host.
test('each target is owned by one host of its own zone', () => {
  const { owners } = assignOwners(SHEET, ALL);
  expect(owners.size).toBe(30);
  for (const [target, owner] of owners) {
    expect(SHEET.hosts.get(owner)!.zone).toBe(SHEET.targets.get(target)!.zone);
  }
});

// Guards against targets without an owner after all hosts of their zone failed.
test('targets of a zone without members are owned by hosts of other zones', () => {
  const members = HOSTS.filter((host) => host.zone !== 'zone-2').map((host) => host.id);
  const { owners } = assignOwners(SHEET, members);
  expect(owners.size).toBe(30);
});

// Guards against an incremental assignment that differs from a full one: two hosts would then
// disagree on the owner of a target.
test('an incremental assignment equals a full one', () => {
  let previous = assignOwners(SHEET, ALL);
  const histories = [ALL.slice(1), ALL.slice(2), ALL, ['host-4'], ALL.slice(0, 5), [], ALL];
  for (const members of histories) {
    const next = assignOwners(SHEET, members, previous);
    expect([...next.owners]).toEqual([...assignOwners(SHEET, members).owners]);
    previous = next;
  }
});

// Guards against a target that keeps an owner of its former zone.
test('a target that moved to another zone gets the same owner as in a full assignment', () => {
  const members = ALL.filter((host) => SHEET.hosts.get(host)!.zone !== 'zone-1');
  const before = assignOwners(SHEET, members);
  const moved = parseSheet(TEXT.replaceAll('round-sheet,zone-2', 'round-sheet,zone-1')).unwrap();
  const after = assignOwners(moved, members, before);
  expect([...after.owners]).toEqual([...assignOwners(moved, members).owners]);
});

// Guards against two regions that both own a target: each region has its own fleet record.
test('targets of other regions have no owner', () => {
  const text = TEXT.replace('zone-3,region-1', 'zone-3,region-2');
  const sheet = parseSheet(text).unwrap();
  const members = HOSTS.filter((host) => host.zone !== 'zone-3').map((host) => host.id);
  const { owners } = assignOwners(sheet, members);
  for (const target of owners.keys()) expect(sheet.targets.get(target)!.zone).not.toBe('zone-3');
  expect(owners.size).toBe(20);
});

// Guards against routing calls to a zone that is out of service.
test('targets of a zone out of service are not offered', () => {
  const groups = groupOwners(SHEET, assignOwners(SHEET, ALL).owners, ['zone-1']);
  const offered = groups.get('round-sheet')!.flatMap((owner) => owner.targets);
  expect(offered).toHaveLength(20);
  expect(offered.some((target) => target.zone === 'zone-1')).toBe(false);
});
