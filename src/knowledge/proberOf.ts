import { type Target } from '../catalog';
import { rendezvousChoice } from '../runtime';

/** The host of the target's zone that probes it; undefined when the zone has no live host. */
export function proberOf(target: Target, zoneHosts: readonly string[]): string | undefined {
  return rendezvousChoice(target.id, zoneHosts);
}
