import { type ConditionName } from './conditionName';
import { findServicesWithoutCapacity, findZonesWithoutCapacity } from './findCapacity';
import { findInvalid, findNotPublished, findStale, findVersionConflict } from './findConfiguration';
import { type Finding } from './finding';
import { type Observation } from './observation';

/** Detects the occurrences of one condition; `now` is monotonic. */
export type Finder = (observation: Observation, now: number) => readonly Finding[];

function findQuorumLost({ hasQuorum, liveHosts, record }: Observation): readonly Finding[] {
  if (hasQuorum || record === null) return [];
  return [{ subject: '', detail: `reaches only ${liveHosts.join(', ')}`, since: null }];
}

function findCrashingCalls({ crashingCalls }: Observation): readonly Finding[] {
  return crashingCalls.map(({ fingerprint, detail }) => ({
    subject: fingerprint,
    detail,
    since: null,
  }));
}

/** Detector of each condition. */
export const FINDERS: Readonly<Record<ConditionName, Finder>> = {
  'zone-without-capacity': findZonesWithoutCapacity,
  'service-without-capacity': findServicesWithoutCapacity,
  'quorum-lost': findQuorumLost,
  'configuration-stale': findStale,
  'sheet-invalid': findInvalid,
  'sheet-not-published': findNotPublished,
  'version-conflict': findVersionConflict,
  'call-crashes-targets': findCrashingCalls,
};
