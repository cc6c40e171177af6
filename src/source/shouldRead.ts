import { rendezvousOrder } from '../runtime';

import { type SourceReport } from './sourceReport';

/**
 * Whether `hostId` reads the catalog for its zone: the first live host in the order of the zone
 * does; one that fails does not keep the next from reading. Answers a reader that dies, and a
 * source that turns away some hosts.
 */
export function shouldRead(hostId: string, reports: readonly SourceReport[]): boolean {
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
