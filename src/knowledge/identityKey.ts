import { v3 as murmurHash } from 'murmurhash';

/**
 * A number that stands for the id of a host or target in counts of calls in flight, where ids would be
 * most of the bytes. Among 7,100 targets two share a number in 0.6% of the deployments; each of them
 * then looks as busy as both, which costs some calls a better place and nothing else.
 */
export function identityKey(id: string): number {
  return murmurHash(id);
}
