import { type SourceReport } from './sourceReport';
import { zoneReaderOrder } from './zoneReaderOrder';

/**
 * Whether `hostId` reads the catalog for its zone. The first live host by rendezvous hashing reads,
 * and while it fails, the next one reads as well. This covers readers that die and sources that
 * reject some hosts.
 */
export function isZoneReader(hostId: string, reports: readonly SourceReport[]): boolean {
  return zoneReaderOrder(hostId, reports)[0] === hostId;
}
