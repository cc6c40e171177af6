import { BALANCER_CAPACITY } from './balancerCapacity';
import { figure, readMeasurement, slope } from './readMeasurement';
import { table } from './table';

const CALLS_PER_SECOND = 690_000;
const TARGETS = 7100;
const SERVICES = 250;
const REGIONS = 6;
const ZONES = 17;
const CHANGES_A_DAY = 7600;
const REPLACEMENTS_A_DAY = 720;
const SECONDS_A_DAY = 86_400;
// Planned share of one core for a gateway, so that the load of a failed zone fits elsewhere.
const PLANNED_USE = 0.6;
const VOTERS = 17;
const BUDGET = "6 KB/s, 1.5% of a core, 256 MB";

const rounded = (value: number, digits = 0) =>
  value.toLocaleString('en', { maximumFractionDigits: digits, minimumFractionDigits: digits });

function latencyFigures() {
  const rows = readMeasurement('added-latency');
  const at = (path: string, column: string) => figure(rows, { path, callsPerSecond: 3000 }, column);
  return {
    ownCost: at('gateway', 'processorMicroseconds'),
    relayedCost: at('relayed', 'processorMicroseconds'),
    memory: at('relayed', 'residentMebibytes'),
  };
}

function controlFigures(hosts: number) {
  const rows = readMeasurement('control-cost').filter((row) => row.load === 'idle');
  const perPeer = slope(rows, 'hosts', 'sentBytesPerSecond');
  const processorPerPeer = slope(rows, 'hosts', 'processorPercent');
  const peers = hosts - 1;
  return {
    perPeer,
    processorPerPeer,
    bytesAllPairs: 2 * perPeer * peers,
    bytesVotersOnly: 2 * perPeer * VOTERS,
    processor: processorPerPeer * peers,
  };
}

function changeFigures() {
  const view = readMeasurement('scale-view');
  const spread = readMeasurement('config-spread');
  const whole = { targets: TARGETS };
  return {
    deltaMs: figure(view, whole, 'applyDeltaMs'),
    heapMb: figure(view, whole, 'heapOfTwoSheetsAndViewKb') / 1024,
    assignMs: figure(view, { targets: 1200 }, 'assignAfterOneHostMs'),
    deltaBytes: figure(spread, { sheetKb: 676, way: 'delta of one row' }, 'bytesPerHost'),
    wholeBytes: figure(spread, { sheetKb: 676, way: 'whole, compressed' }, 'bytesPerHost'),
  };
}

/** The page docs/CAPACITY.md, computed from the recorded measurements. */
export function capacityPage(): string {
  const calls = latencyFigures();
  const perHost = (PLANNED_USE * 1e6) / calls.relayedCost;
  const hosts = Math.ceil(CALLS_PER_SECOND / perHost);
  const regionHosts = Math.ceil(hosts / REGIONS);
  const control = controlFigures(regionHosts);
  const change = changeFigures();
  const changesProcessor = ((CHANGES_A_DAY * change.deltaMs) / 1000 / SECONDS_A_DAY) * 100;
  const membershipChanges = (2 * REPLACEMENTS_A_DAY) / REGIONS;
  const membershipProcessor = ((membershipChanges * change.assignMs) / 1000 / SECONDS_A_DAY) * 100;
  const choices = readMeasurement('scale-choice');
  const roles = table(
    ['role', 'state', 'messages', 'processor time', 'memory', 'mechanism'],
    [
      [
        'entry',
        `sheet of ${TARGETS} targets, owner table of ${SERVICES} services: ${rounded(change.heapMb, 1)} MB with one spare sheet`,
        'none beyond the calls; owner state travels on relayed answers',
        `${rounded(calls.ownCost)} µs a call at an own target, ${rounded(calls.relayedCost)} µs a relayed one, both hosts together`,
        `${rounded(calls.memory)} MB resident at 3,000 calls/s`,
        'least of two owners; own targets and own zone first',
      ],
      [
        'owner of targets',
        `${rounded(TARGETS / hosts, 1)} targets with their queues`,
        'one release for each target that moves',
        `${rounded(figure(choices, { targets: TARGETS, services: SERVICES }, 'slotMicroseconds'), 1)} µs for a slot, part of the call`,
        'within that of the entry',
        'one owner by rendezvous hash inside the zone',
      ],
      [
        'peer, all pairs of a region (today)',
        `contacts of ${regionHosts - 1} peers`,
        `${rounded(control.bytesAllPairs)} B/s sent and received`,
        `${rounded(control.processor, 2)}% of a core`,
        'a stream for each peer',
        'heartbeats every 500 ms on one gRPC stream a pair',
      ],
      [
        `peer, voters only (${VOTERS})`,
        `contacts of ${VOTERS} voters`,
        `${rounded(control.bytesVotersOnly)} B/s sent and received; a voter as in the row above`,
        `${rounded(control.processorPerPeer * VOTERS, 2)}% of a core`,
        'as above',
        'heartbeats with the 17 voters of the region; not built',
      ],
      [
        'watcher',
        'the published sheet',
        '2 waiting watches a region, a read every 30 s by each other host',
        'as a change',
        'the sheet as text',
        'two watchers by rendezvous rank',
      ],
      [
        'every host, a configuration change',
        'the last 8 sheets as text',
        `a delta of ${rounded(change.deltaBytes)} B, or the whole of ${rounded(change.wholeBytes)} B at 676 KB of text; ${rounded((CHANGES_A_DAY * change.deltaBytes) / SECONDS_A_DAY)} B/s on average`,
        `${rounded(change.deltaMs)} ms, ${rounded(changesProcessor, 2)}% of a core at ${CHANGES_A_DAY} changes a day`,
        `${rounded(change.heapMb, 1)} MB`,
        'fingerprint, then delta, then whole',
      ],
      [
        'every host, a change of members',
        'owner of each target of the region',
        'a Paxos round of the voters, then a commit to each host',
        `${rounded(change.assignMs, 1)} ms, ${rounded(membershipProcessor, 3)}% of a core at ${rounded(membershipChanges)} changes a day in a region`,
        'within the view',
        'owners again only in the zone that changed',
      ],
      [
        "operators' client",
        'none',
        'one request an order, one a host for status',
        'negligible',
        'one process while it runs',
        'HTTP to any gateway',
      ],
    ],
  );
  return `# Capacity

Generated by \`npm run docs\` from the files in \`measurements/\`; a test fails when they differ.
All figures come from one machine with 10 cores, on loopback; slopes are read over at least three
sizes. Bounds of a host for control: ${BUDGET}.

## Hosts needed

A relayed call costs ${rounded(calls.relayedCost)} µs over both gateways (\`measure added-latency\`, 3,000 calls/s). At
${PLANNED_USE * 100}% of a core, a gateway carries 0.6 × 1,000,000 / ${rounded(calls.relayedCost)} = ${rounded(perHost)} calls/s, so
${rounded(CALLS_PER_SECOND)} calls/s take ${rounded(hosts)} gateway processes, ${regionHosts} in each of ${REGIONS} regions and about
${Math.ceil(hosts / ZONES)} in each of ${ZONES} zones. Calls up to 7 deep are counted in the ${rounded(CALLS_PER_SECOND)}.

## Roles

${roles}

## Failures at that size

| failure | effect |
| --- | --- |
| one of 8 hosts a day | its ${rounded(TARGETS / hosts, 1)} targets rest for 3 s + 2 s + the time limit of the service; its calls have an unknown outcome |
| a rack or switch | as many hosts at once; one change of members removes all of them |
| a zone | its targets are gone with it; entries elsewhere keep their own; a third of a region's load has to fit into the rest, which 60% planned use allows |
| a region's links | each region has its own record and its own targets; nothing changes inside it, and published sheets arrive when the links are back |
| ${REPLACEMENTS_A_DAY} replacements a day | ${rounded(membershipChanges)} changes of members a day in a region; graceful ones hand over without rest |

## Where today's build falls short

- Heartbeats go to all hosts of the region: ${rounded(control.bytesAllPairs)} B/s at ${regionHosts} hosts against 6,144 B/s, TCP payload
  without headers. With voters only, a host that is no voter stays within it; a voter does not,
  unless its heartbeats slow down with the size of the region.
- A change costs ${rounded(change.deltaMs)} ms since the whole sheet is parsed again: ${rounded(changesProcessor, 2)}% of a core on average, and one
  block of the event loop each time, far above 1.1 ms. Only changed rows should be parsed.
- An idle gateway of 17 uses ${rounded(figure(readMeasurement('control-cost'), { hosts: 17, load: 'idle' }, 'processorPercent'), 2)}% of a core against 1.5%; KNOWN-RED.txt has the case.
- 1.1 ms of added time at the 99th percentile is not shown; docs/measurements.md has the figures.
- Releases are one message for each target.
- Several regions in one sheet are covered by tests of the assignment of owners only.
- Relays between regions are not built: a service without targets in a region is refused there.

${BALANCER_CAPACITY}`;
}
