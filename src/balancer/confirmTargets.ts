import { type TargetStatisticsTable, type TargetSubsets } from '../knowledge';

/**
 * Checks the targets that this host uses and that are not confirmed healthy. Hosts of a large zone
 * never confirm the targets of other zones, so that these are not passed over either.
 */
export function confirmTargets(
  targetStates: TargetStatisticsTable,
  subsets: TargetSubsets,
  check: (target: string) => void,
): void {
  const unconfirmed = targetStates.unconfirmed();
  const used = subsets.usedTargets();
  if (used !== null && used.size < unconfirmed.size) {
    for (const target of used) if (unconfirmed.has(target)) check(target);
  } else {
    for (const target of unconfirmed) if (subsets.has(target)) check(target);
  }
}
