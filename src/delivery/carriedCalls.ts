import { v3 as murmurHash } from 'murmurhash';

// Bounds the memory of a connection, at the price of one new connection for this many calls.
const MAX_CALLS = 1024;

/**
 * The calls that one connection has carried. A target may write any earlier answer of a connection
 * once more, so an id in an answer identifies a call only if the connection carried it once.
 */
export class CarriedCalls {
  /** Ids may be long. Calls with the same digest are only kept on different connections. */
  private readonly digests: number[] = [];

  /** Whether the connection may carry a call with this id. */
  mayCarry(id: string): boolean {
    return !this.isFull() && !this.digests.includes(murmurHash(id));
  }

  /** Records a call before it is sent. */
  add(id: string): void {
    this.digests.push(murmurHash(id));
  }

  /** Whether the connection may carry no further call. */
  isFull(): boolean {
    return this.digests.length >= MAX_CALLS;
  }
}
