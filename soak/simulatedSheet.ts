import { parseSheet, type Sheet } from '../src/sheet';
import { type SheetParts, sheetText } from '../standins';

/** Contents of a simulated sheet. */
export interface SimulatedSheetParts {
  readonly targets: number;
  readonly slots: number;
  readonly coldLimit: number;
  readonly coldMs: number;
  readonly rain: boolean;
  readonly hosts?: number;
  readonly services?: number;
}

/** Name of the first service of a simulated sheet. */
export const SIMULATED_SERVICE = 'service-1';

function hostsOf(count: number): SheetParts['hosts'] {
  return Array.from({ length: count }, (_value, index) => ({
    id: `host-${index + 1}`,
    zone: `zone-${1 + (index % 2)}`,
    callerPort: 2000 + 4 * index,
    relayPort: 2001 + 4 * index,
    peerPort: 2002 + 4 * index,
    operatorPort: 2003 + 4 * index,
  }));
}

/** Sheet with targets spread evenly over its services and two zones; opens no ports. */
export function simulatedSheet(parts: SimulatedSheetParts): Sheet {
  const services = parts.services ?? 1;
  const text = sheetText({
    version: 1,
    rain: parts.rain,
    zones: ['zone-1', 'zone-2'],
    hosts: hostsOf(parts.hosts ?? 1),
    services: Array.from({ length: services }, (_service, service) => ({
      name: `service-${service + 1}`,
      targets: Array.from({ length: Math.ceil(parts.targets / services) }, (_target, index) => ({
        id: `t-${service + 1}-${index + 1}`,
        zone: `zone-${1 + (index % 2)}`,
        port: 20_000 + service * Math.ceil(parts.targets / services) + index,
        slots: parts.slots,
        coldLimit: parts.coldLimit,
        coldMs: parts.coldMs,
      })),
    })),
  });
  const sheet = parseSheet(text);
  if (sheet.err) throw new Error(`the simulated sheet is not valid: ${JSON.stringify(sheet.val)}`);
  return sheet.val;
}
