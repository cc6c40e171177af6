import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import fc from 'fast-check';

import { applyDelta, diffSheets, formatSheetError, parseSheet, type Sheet } from '../src';
import { sheetText } from '../standins';

const HOST = { zone: 'zone-1', callerPort: 1, relayPort: 2, peerPort: 3, operatorPort: 4 };

function example(version = 1, targets = 2): string {
  return sheetText({
    version,
    zones: ['zone-1', 'zone-2'],
    hosts: [{ id: 'host-1', ...HOST }],
    services: [
      {
        name: 'calendar',
        targets: Array.from({ length: targets }, (_, index) => ({
          id: `t-${index}`,
          zone: 'zone-1',
          port: 9000 + index,
        })),
      },
    ],
  });
}

function errorsOf(text: string): readonly string[] {
  const sheet = parseSheet(text);
  return sheet.ok ? [] : sheet.val.map(formatSheetError);
}

function sheetOf(text: string): Sheet {
  return parseSheet(text).expect('the sheet is valid');
}

// Guards against an example that does not load, or whose sizes differ from the design.
test.each([
  ['derwent-vale', { 'round-sheet': 16, 'close-out': 11, 'tip-docket': 6, 'flood-watch': 6 }],
  ['saryarka', { calendar: 14, booking: 6, payments: 6, 'species-guide': 6 }],
])('example %s is valid', (name, sizes) => {
  const text = readFileSync(join(__dirname, '..', 'examples', `${name}.csv`), 'utf8');
  expect(errorsOf(text)).toEqual([]);
  const sheet = sheetOf(text);
  expect([sheet.zones.size, sheet.hosts.size]).toEqual([3, 15]);
  const found = [...sheet.targetsOf].map(([service, targets]) => [service, targets.length]);
  expect(Object.fromEntries(found)).toEqual(sizes);
  const ports = [
    ...[...sheet.hosts.values()].flatMap((host) => [
      host.caller_port,
      host.relay_port,
      host.peer_port,
      host.operator_port,
    ]),
    ...[...sheet.targets.values()].map((target) => target.port),
  ];
  expect(new Set(ports).size).toBe(ports.length);
});

// Guards against formatting by spreadsheets that changes the content or the fingerprint.
test('byte order mark, CRLF, padding, comments and row order do not affect the fingerprint', () => {
  const lines = example().trimEnd().split('\n');
  const padded = lines.map((line) => `${line},,`).join('\r\n');
  const reordered = example().replace(/(t-0.*\n)(t-1.*\n)/, '$2# a "comment"\n\n$1');
  const { fingerprint, text } = sheetOf(example());
  expect(sheetOf(`\ufeff${padded}\r\n`).fingerprint).toBe(fingerprint);
  expect(sheetOf(reordered).fingerprint).toBe(fingerprint);
  expect(sheetOf(text).text).toBe(text);
});

// Guards against malformed input that crashes the parser or is accepted as a sheet.
test.each([
  ['empty', '', 'row 0, sheet: section is missing'],
  ['truncated', example().slice(0, 200), 'row 0, targets: section is missing'],
  ['cut inside a quoted cell', example().replace('t-1', '"t-1'), 'not a CSV file'],
  ['binary', '\u0000\u0001[sheet]', 'row 1: is not UTF-8 text'],
  ['another encoding', example().replace('t-1', 't-\ufffd'), 'is not UTF-8 text'],
  ['huge', example() + '#'.repeat(1024 * 1024), 'above the largest size of 1048576 bytes'],
])('%s input is refused', (_name, text, message) => {
  expect(errorsOf(text).join('\n')).toContain(message);
});

// Guards against reporting only the first error, so that each one takes another upload to find.
test('several errors are reported at once, by row and field', () => {
  const text = example()
    .replace('1,2026-12-04,no', '0x1,2026-13-04,maybe')
    .replace('host-1,zone-1', 'host-1,nowhere')
    .replace('t-1,calendar,zone-1,127.0.0.1,9001,6,260,1,0', 't-0,other,zone-1,127.0.0.1,,6,2,7,')
    .replace('reserved_percent', 'reserved');
  expect(errorsOf(text)).toEqual([
    'row 3, sheet.version: must be a whole number',
    'row 3, sheet.date: must be a date as YYYY-MM-DD',
    'row 3, sheet.rain: must be yes or no',
    "row 10, hosts.zone: 'nowhere' is not in section [zones]",
    'row 17, targets.port: is empty',
    'row 17, targets.cold_ms: is empty',
    "row 17, targets.target: 't-0' stands already in row 16",
    "row 17, targets.service: 'other' is not in section [services]",
    'row 17, targets.cold_limit: 7 is above the 6 slots',
    'row 17, targets.connections: 2 connections are fewer than the 6 slots',
    'row 21, priorities.reserved_percent: column is missing',
    'row 21, priorities.reserved: unknown column; known are class, rank, rain_rank, reserved_percent',
  ]);
});

// Guards against reporting a wrong column once per row, or reading values of shifted columns.
test('missing, unknown and repeated columns are reported once', () => {
  const text = example(1, 5).replace('slots,connections', 'slots,slots').replace('cold_ms', 'cold');
  expect(errorsOf(text)).toEqual([
    'row 15, targets.connections: column is missing',
    'row 15, targets.cold_ms: column is missing',
    'row 15, targets.slots: column appears twice',
    expect.stringMatching(/^row 15, targets.cold: unknown column; known are target, /),
  ]);
});

// Guards against a delta that loses or adds rows.
test('a delta turns any sheet into any other sheet', () => {
  const sizes = fc.integer({ min: 1, max: 20 });
  fc.assert(
    fc.property(sizes, sizes, (before, after) => {
      const base = sheetOf(example(1, before));
      const wanted = sheetOf(example(2, after));
      const delta = diffSheets(base, wanted);
      expect(applyDelta(base, delta).unwrap().text).toBe(wanted.text);
      const targets = delta.sections.find(({ section }) => section === 'targets');
      const changed = (targets?.added.length ?? 0) + (targets?.removed.length ?? 0);
      expect(changed).toBe(Math.abs(before - after));
    }),
    { numRuns: 50 },
  );
});

// Guards against applying a delta to another base, or a corrupted delta.
test('a delta with another base or corrupted rows is refused', () => {
  const base = sheetOf(example(1, 3));
  const delta = diffSheets(base, sheetOf(example(2, 5)));
  expect(applyDelta(sheetOf(example(1, 4)), delta).err).toBe(true);
  expect(applyDelta(base, { ...delta, sections: delta.sections.slice(1) }).err).toBe(true);
  const corrupted = delta.sections.map((each) => ({ ...each, added: ['x'] }));
  expect(applyDelta(base, { ...delta, sections: corrupted }).err).toBe(true);
});
