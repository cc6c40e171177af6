import { shouldRead } from './shouldRead';
import { type SourceReport } from './sourceReport';

/** What decides whether a host reads the source now. */
export interface ReadingNeeds {
  readonly hostId: string;
  readonly isStopping: boolean;
  /** All hosts started together, before there were callers. */
  readonly isFirstStart: boolean;
  readonly knowsConfiguration: boolean;
  /** Time since the start of the process, in milliseconds. */
  readonly ageMs: number;
  /** What the live hosts of the zone say of their reading. */
  readonly neighbours: readonly SourceReport[];
}

// Neighbours are heard within this time of a start.
const JOIN_MS = 250;

/**
 * Whether a host reads the source: one of its zone does for all. A host that starts again and knows
 * no configuration reads at once, since callers wait for it; where all start together it first
 * listens for neighbours, so that they do not all read.
 */
export function mustRead(needs: ReadingNeeds): boolean {
  if (needs.isStopping) return false;
  if (!needs.isFirstStart && !needs.knowsConfiguration) return true;
  if (needs.neighbours.length === 0 && needs.ageMs < JOIN_MS) return false;
  return shouldRead(needs.hostId, needs.neighbours);
}
