import Logger from 'bunyan';

import { EventLog, type FleetRecord, ManualClock, parseSheet, type Sheet } from '../../src';
import { sheetText } from '../../standins';

/** A valid sheet; the number of `targets` determines its content. */
export function sheetOf(version: number, targets = 1): Sheet {
  const host = { id: 'host-1', zone: 'z', callerPort: 1, relayPort: 2, peerPort: 3 };
  const text = sheetText({
    version,
    zones: ['z'],
    hosts: [{ ...host, operatorPort: 4 }],
    services: [
      {
        name: 'calendar',
        targets: Array.from({ length: targets }, (_unused, index) => ({
          id: `t-${index}`,
          zone: 'z',
          port: 1000 + index,
        })),
      },
    ],
  });
  return parseSheet(text).expect('the sheet is valid');
}

/** A record with `sheet` in force. */
export function recordOf(sheet: Sheet, members: readonly string[]): FleetRecord {
  return {
    epoch: 1,
    ballot: { round: 1, hostId: 'host-1' },
    sheetVersion: sheet.version,
    sheetFingerprint: sheet.fingerprint,
    members,
    zonesOut: [],
    orderId: 'o',
    reason: '',
  };
}

/** An event log that records the numbers of its events. */
export function recordedEvents(): { readonly events: EventLog; readonly numbers: number[] } {
  const numbers: number[] = [];
  const stream = {
    write: (record: unknown) => numbers.push((record as { event: number }).event),
  };
  const logger = Logger.createLogger({
    name: 'test',
    streams: [{ type: 'raw', level: 'trace', stream }],
  });
  return { events: new EventLog(logger), numbers };
}

/** Lets pending promises run. */
export async function settle(): Promise<void> {
  for (let round = 0; round < 5; round += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Advances the clock in steps and lets pending promises run after each. */
export async function advance(clock: ManualClock, milliseconds: number, step = 500): Promise<void> {
  const end = clock.now() + milliseconds;
  await settle();
  while (clock.now() < end) {
    clock.advanceTo(Math.min(end, clock.now() + step));
    await settle();
  }
}
