import { type BalancerFaultContext } from './balancerFault';
import { type SoakHost } from './soakHost';

/** Picks any host. */
export function pickHost({ hosts, random }: BalancerFaultContext): SoakHost {
  return hosts[random.integer(hosts.length)]!;
}

/**
 * Runs `fault` with up to `count` hosts, of which no other fault starts and ends processes meanwhile;
 * does nothing when there is none.
 */
export async function withClaimedHosts(
  { hosts, random }: BalancerFaultContext,
  count: number,
  fault: (host: SoakHost) => Promise<void>,
): Promise<void> {
  const free = hosts.filter((host) => !host.isClaimed);
  const picked: SoakHost[] = [];
  while (picked.length < count && free.length > 0)
    picked.push(...free.splice(random.integer(free.length), 1));
  for (const host of picked) host.isClaimed = true;
  await Promise.all(picked.map(fault));
  for (const host of picked) host.isClaimed = false;
}
