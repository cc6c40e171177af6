import { simulatedSheet } from '../../soak/simulatedSheet';
import { assignOwners, FixedFleet, groupOwners } from '../../src/fleet';
import { Router } from '../../src/routing';
import { ManualClock, SeededRandom } from '../../src/runtime';
import { applyDelta, diffSheets, parseSheet, type Sheet } from '../../src/sheet';
import { type Measurement, type ResultRow } from '../measurement';

interface Size {
  readonly targets: number;
  readonly services: number;
  readonly hosts: number;
}

// The last size is a sheet of all regions; a region has about a sixth of its targets.
const SIZES: readonly Size[] = [
  { targets: 39, services: 4, hosts: 15 },
  { targets: 1200, services: 50, hosts: 60 },
  { targets: 7100, services: 250, hosts: 350 },
];
const REPETITIONS = 5;
const BYTES_PER_KB = 1024;

function makeSheet({ targets, services, hosts }: Size, version: number): Sheet {
  const base = simulatedSheet({
    targets,
    services,
    hosts,
    slots: 6,
    coldLimit: 1,
    coldMs: 2000,
    rain: false,
  });
  const text = base.text.replace(`\n${base.version},`, `\n${version},`);
  return parseSheet(text).unwrap();
}

/** Returns the median duration of `step` in milliseconds. */
function medianMs(step: () => void): number {
  const times = Array.from({ length: REPETITIONS }, () => {
    const start = performance.now();
    step();
    return performance.now() - start;
  });
  return times.sort((left, right) => left - right)[Math.floor(REPETITIONS / 2)]!;
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measureSize(size: Size, seed: number): ResultRow {
  const before = heapBytes();
  const sheet = makeSheet(size, 1);
  const next = makeSheet(size, 2);
  const members = [...sheet.hosts.keys()];
  const fleet = new FixedFleet(members[0]!, sheet);
  const router = new Router(fleet, new ManualClock(), new SeededRandom(seed));
  const heapKb = (heapBytes() - before) / BYTES_PER_KB;
  const assignment = assignOwners(sheet, members);
  const delta = diffSheets(sheet, next);
  return {
    ...size,
    sheetKb: Math.round(sheet.text.length / BYTES_PER_KB),
    heapOfTwoSheetsAndViewKb: Math.round(heapKb),
    parseMs: medianMs(() => parseSheet(sheet.text)),
    applyDeltaMs: medianMs(() => applyDelta(sheet, delta)),
    assignAllMs: medianMs(() => assignOwners(sheet, members)),
    assignAfterOneHostMs: medianMs(() => assignOwners(sheet, members.slice(1), assignment)),
    groupOwnersMs: medianMs(() => groupOwners(sheet, assignment.owners, [])),
    applyViewMs: medianMs(() => router.applyView(fleet.view())),
  };
}

/** Memory of a view and time to apply a change, by number of targets, services and hosts. */
export const scaleView: Measurement = {
  description: 'memory of a view and time to apply a change, up to 7,100 targets and 350 hosts',
  run: ({ seed }) => Promise.resolve(SIZES.map((size) => measureSize(size, seed))),
};
