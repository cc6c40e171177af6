import { v3 as murmurHash } from 'murmurhash';

interface ScoredNode {
  readonly node: string;
  readonly score: number;
}

function byScoreThenName(left: ScoredNode, right: ScoredNode): number {
  if (left.score !== right.score) return right.score - left.score;
  return left.node < right.node ? -1 : 1;
}

/** Rendezvous weight of `node` for `key`; the highest one wins. */
export function rendezvousScore(key: string, node: string): number {
  return murmurHash(`${key}\u0000${node}`);
}

/** Orders `nodes` for `key` by rendezvous hashing (highest random weight first). */
export function rendezvousOrder(key: string, nodes: readonly string[]): readonly string[] {
  return nodes
    .map((node) => ({ node, score: rendezvousScore(key, node) }))
    .sort(byScoreThenName)
    .map((scored) => scored.node);
}

/** Returns the node with the highest rendezvous weight for `key`, undefined without nodes. */
export function rendezvousChoice(key: string, nodes: readonly string[]): string | undefined {
  let best: ScoredNode | undefined;
  for (const node of nodes) {
    const scored = { node, score: rendezvousScore(key, node) };
    if (best === undefined || byScoreThenName(scored, best) < 0) best = scored;
  }
  return best?.node;
}
