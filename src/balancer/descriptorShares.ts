import { type ConnectionLimits } from '../delivery';

// Each call needs a connection of its caller and one to a target, and a hedge one more; the rest is for
// health checks, readiness, other hosts and files.
const CALLER_SHARE = 0.4;
const TARGET_SHARE = 0.5;

/** Upper bound of the connections of callers. */
export function callerConnectionLimit(descriptors: number): number {
  return Math.floor(descriptors * CALLER_SHARE);
}

/** Bounds of the connections to targets: hedges leave one to each caller. */
export function targetConnectionLimits(descriptors: number): ConnectionLimits {
  const open = Math.floor(descriptors * TARGET_SHARE);
  return { open, inUseForHedges: open - callerConnectionLimit(descriptors) };
}
