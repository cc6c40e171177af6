import { rendezvousOrder } from '../runtime';

import { type SourceReport } from './sourceReport';

/**
 * Whether `hostId` reads the catalog for its zone. The first live host by rendezvous hashing reads,
 * and while it fails, the next one reads as well. This covers readers that die and sources that
 * reject some hosts.
 */
export function isZoneReader(hostId: string, reports: readonly SourceReport[]): boolean {
  const failing = new Set(
    reports.filter((report) => report.state === 'failing').map((report) => report.hostId),
  );
  const order = rendezvousOrder('catalog reader', [
    hostId,
    ...reports.map((report) => report.hostId),
  ]);
  for (const candidate of order) {
    if (candidate === hostId) return true;
    if (!failing.has(candidate)) return false;
  }
  return true;
}
