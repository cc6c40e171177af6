import { type Sheet } from '../sheet';

import { type Finding } from './finding';
import { type Observation } from './observation';

interface Capacity {
  readonly service: string;
  readonly zone: string;
  readonly isUsable: boolean;
}

/** Lists, per service and zone in service that has targets of it, whether any can take calls. */
function listCapacity(observation: Observation, sheet: Sheet): readonly Capacity[] {
  const { record, usableSlots } = observation;
  const zonesOut = new Set(record?.zonesOut);
  return [...sheet.targetsOf].flatMap(([service, targets]) =>
    [...new Set(targets.map(({ zone }) => zone))]
      .filter((zone) => !zonesOut.has(zone))
      .map((zone) => ({ service, zone, isUsable: usableSlots(service, zone) > 0 })),
  );
}

/** Values of `field` for which no entry is usable, sorted. */
function namesWithoutUsable(
  entries: readonly Capacity[],
  field: 'service' | 'zone',
): readonly string[] {
  const usable = new Set(entries.filter((entry) => entry.isUsable).map((entry) => entry[field]));
  const all = new Set(entries.map((entry) => entry[field]));
  return [...all].filter((name) => !usable.has(name)).sort();
}

function capacityOf(observation: Observation): readonly Capacity[] {
  // A host without a current view does not know the capacity reported by the owners.
  if (!observation.hasQuorum || observation.sheet === null) return [];
  return listCapacity(observation, observation.sheet);
}

/** Zones in service in which no target can take calls. */
export function findZonesWithoutCapacity(observation: Observation): readonly Finding[] {
  return namesWithoutUsable(capacityOf(observation), 'zone').map((zone) => ({
    subject: zone,
    detail: `no target in ${zone} can take calls`,
    since: null,
  }));
}

/** Services without a usable target; a zone without any usable target has a warning of its own. */
export function findServicesWithoutCapacity(observation: Observation): readonly Finding[] {
  const capacity = capacityOf(observation);
  const emptyZones = new Set(namesWithoutUsable(capacity, 'zone'));
  const rest = capacity.filter(({ zone }) => !emptyZones.has(zone));
  return namesWithoutUsable(rest, 'service').map((service) => ({
    subject: service,
    detail: `no target of ${service} can take calls`,
    since: null,
  }));
}
