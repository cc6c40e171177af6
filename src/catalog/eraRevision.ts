// Eras below 2^20 with revisions below 2^32 are safe integers.
const REVISIONS_PER_ERA = 2 ** 32;

/** Eras are below this number. */
export const ERA_LIMIT = 2 ** 20;

/** Highest revision of a source within an era. */
export const MAX_SOURCE_REVISION = REVISIONS_PER_ERA - 1;

/**
 * A revision of a source and the era in which it was assigned, as one number that orders such pairs. The
 * era rises when the source is restored from an older copy and assigns revisions again.
 */
export function joinRevision(era: number, sourceRevision: number): number {
  return era * REVISIONS_PER_ERA + sourceRevision;
}

/** The era of a revision. */
export function eraOf(revision: number): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}

/** The revision as the source assigned it within its era. */
export function sourceRevisionOf(revision: number): number {
  return revision % REVISIONS_PER_ERA;
}
