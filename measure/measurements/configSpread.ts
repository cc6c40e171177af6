import { simulatedSheet } from '../../soak/simulatedSheet';
import { encodeDelta, encodeSheet } from '../../src/fleet/sheetEncoding';
import { diffSheets, parseSheet, type Sheet } from '../../src/sheet';
import { type Measurement, type ResultRow } from '../measurement';

const HOSTS = 17;
const BYTES_PER_KB = 1024;
const FINGERPRINT_BYTES = 64;
// Control traffic budget of a host; the distribution of a sheet may use all of it for a short time.
const BUDGET_BYTES_PER_SECOND = 6 * BYTES_PER_KB;
// Target counts that result in sheets of about 10 KB, 100 KB and 1 MB.
const TARGET_COUNTS = [100, 1200, 12_000];

function makeSheet(targets: number): Sheet {
  return simulatedSheet({
    targets,
    services: Math.max(4, Math.round(targets / 28)),
    hosts: HOSTS,
    slots: 6,
    coldLimit: 1,
    coldMs: 2000,
    rain: false,
  });
}

/** Returns the next version of the sheet, with one target removed. */
function removeOneTarget(sheet: Sheet): Sheet {
  const id = [...sheet.targets.keys()].at(-1)!;
  const lines = sheet.text.split('\n').filter((line) => !line.startsWith(`${id},`));
  const header = lines.indexOf('[sheet]') + 2;
  lines[header] = lines[header]!.replace(/^\d+/, String(sheet.version + 1));
  return parseSheet(lines.join('\n')).unwrap();
}

async function measureSheet(targets: number): Promise<readonly ResultRow[]> {
  const sheet = makeSheet(targets);
  const next = removeOneTarget(sheet);
  const sizes = [
    ['fingerprint equal', FINGERPRINT_BYTES],
    ['delta of one row', (await encodeDelta(diffSheets(sheet, next))).length],
    ['whole, compressed', (await encodeSheet(next)).length],
    ['whole, plain', next.text.length],
  ] as const;
  return sizes.map(([way, bytes]) => ({
    sheetKb: Math.round(next.text.length / BYTES_PER_KB),
    way,
    bytesPerHost: bytes,
    bytesOf17Hosts: bytes * (HOSTS - 1),
    secondsAtBudget: bytes / BUDGET_BYTES_PER_SECOND,
  }));
}

/** Bytes that each encoding of a sheet sends to a host, and the time this takes at the budget. */
export const configSpread: Measurement = {
  description: 'bytes and time to distribute a changed sheet to 17 hosts, by encoding',
  run: async () => (await Promise.all(TARGET_COUNTS.map(measureSheet))).flat(),
};
