import { type Target } from '../catalog';
import { rendezvousChoice } from '../runtime';

/** The host of its zone that health-checks the target; undefined if the zone has no live host. */
export function proberOf(target: Target, zoneHosts: readonly string[]): string | undefined {
  return rendezvousChoice(target.id, zoneHosts);
}
