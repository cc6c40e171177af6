import { rendezvousOrder } from '../runtime';

import { type SourceReport } from './sourceReport';

/** Hosts of a zone that may read for it, in the order in which they do; those that fail are omitted. */
export function zoneReaderOrder(
  hostId: string,
  reports: readonly SourceReport[],
): readonly string[] {
  const failing = new Set(
    reports.filter((report) => report.state === 'failing').map((report) => report.hostId),
  );
  const hosts = [hostId, ...reports.map((report) => report.hostId)];
  return rendezvousOrder('catalog reader', hosts).filter((host) => !failing.has(host));
}
