import { isZoneReader } from './isZoneReader';
import { type SourceReport } from './sourceReport';

/** Conditions that determine whether a host reads the source now. */
export interface ReadingConditions {
  readonly hostId: string;
  readonly isStopping: boolean;
  /** Whether all hosts start together, before there are callers. */
  readonly isFirstStart: boolean;
  readonly knowsConfiguration: boolean;
  /** Time since the process started, in milliseconds. */
  readonly uptimeMs: number;
  /** Reading states of the other live hosts of the zone. */
  readonly neighbours: readonly SourceReport[];
}

// Heartbeats of neighbours arrive within this time after a start.
const NEIGHBOUR_DISCOVERY_MS = 250;
// A host that starts has the catalog of a reader by then, unless the reader cannot be asked for it.
const PULL_TIMEOUT_MS = 2000;

/**
 * Whether a host reads the source; one host of each zone reads for all of them. A restarted host
 * without a configuration reads at once, as callers wait for it. When all hosts start together, a
 * host first waits for heartbeats of its neighbours, so that not all of them read, and reads itself if it
 * does not get the catalog of the one that does.
 */
export function mustRead(conditions: ReadingConditions): boolean {
  if (conditions.isStopping) return false;
  const hasWaited =
    conditions.uptimeMs >= PULL_TIMEOUT_MS &&
    conditions.neighbours.some((neighbour) => neighbour.state === 'reading');
  if (!conditions.knowsConfiguration && (!conditions.isFirstStart || hasWaited)) return true;
  if (conditions.neighbours.length === 0 && conditions.uptimeMs < NEIGHBOUR_DISCOVERY_MS)
    return false;
  return isZoneReader(conditions.hostId, conditions.neighbours);
}
