import { v3 as murmurHash } from 'murmurhash';

/**
 * Hash that replaces the id of a host or target in in-flight counts, where ids would take most of
 * the bytes. With 7,100 targets, two share a hash in 0.6% of the deployments; each of them then
 * appears to have the load of both, which only leads to a worse placement of some calls.
 */
export function identityKey(id: string): number {
  return murmurHash(id);
}
