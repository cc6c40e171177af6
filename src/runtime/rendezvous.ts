import { v3 as murmurHash } from 'murmurhash';

interface ScoredNode {
  readonly node: string;
  readonly score: number;
}

function byScoreThenName(left: ScoredNode, right: ScoredNode): number {
  if (left.score !== right.score) return right.score - left.score;
  return left.node < right.node ? -1 : 1;
}

/** Rendezvous (highest random weight) order of `nodes` for `key`; the first one is the choice. */
export function rendezvousOrder(key: string, nodes: readonly string[]): readonly string[] {
  return nodes
    .map((node) => ({ node, score: murmurHash(`${key}\u0000${node}`) }))
    .sort(byScoreThenName)
    .map((scored) => scored.node);
}

/** The node with the highest rendezvous weight for `key`, or undefined when there is none. */
export function rendezvousChoice(key: string, nodes: readonly string[]): string | undefined {
  let best: ScoredNode | undefined;
  for (const node of nodes) {
    const scored = { node, score: murmurHash(`${key}\u0000${node}`) };
    if (best === undefined || byScoreThenName(scored, best) < 0) best = scored;
  }
  return best?.node;
}
