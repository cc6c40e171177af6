import { type Sheet } from '../sheet';

import { type Finding } from './finding';
import { type Observation } from './observation';

interface Capacity {
  readonly service: string;
  readonly zone: string;
  readonly usable: boolean;
}

/** Services with targets in each zone that is in service. */
function listCapacity(observation: Observation, sheet: Sheet): readonly Capacity[] {
  const { record, usableSlots } = observation;
  const out = new Set(record?.zonesOut);
  return [...sheet.targetsOf].flatMap(([service, targets]) =>
    [...new Set(targets.map(({ zone }) => zone))]
      .filter((zone) => !out.has(zone))
      .map((zone) => ({ service, zone, usable: usableSlots(service, zone) > 0 })),
  );
}

/** Values of `field` for which no entry is usable. */
function withoutUsable(entries: readonly Capacity[], field: 'service' | 'zone'): readonly string[] {
  const usable = new Set(entries.filter((entry) => entry.usable).map((entry) => entry[field]));
  const all = new Set(entries.map((entry) => entry[field]));
  return [...all].filter((name) => !usable.has(name)).sort();
}

function capacityOf(observation: Observation): readonly Capacity[] {
  // A host without a current view does not know what the owners can take.
  if (!observation.hasQuorum || observation.sheet === null) return [];
  return listCapacity(observation, observation.sheet);
}

/** Zones in service none of whose targets can take calls. */
export function findZonesWithoutCapacity(observation: Observation): readonly Finding[] {
  return withoutUsable(capacityOf(observation), 'zone').map((zone) => ({
    subject: zone,
    detail: `no target in ${zone} can take calls`,
    since: null,
  }));
}

/** Services without a usable target; a zone that has none at all is told by its own warning. */
export function findServicesWithoutCapacity(observation: Observation): readonly Finding[] {
  const capacity = capacityOf(observation);
  const emptyZones = new Set(withoutUsable(capacity, 'zone'));
  const rest = capacity.filter(({ zone }) => !emptyZones.has(zone));
  return withoutUsable(rest, 'service').map((service) => ({
    subject: service,
    detail: `no target of ${service} can take calls`,
    since: null,
  }));
}
