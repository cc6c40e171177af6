/**
 * Called on each change in the number of calls that this host has in flight at a target with
 * `freeSlots` slots left; `isUrgent` if a call has just taken one of the last slots.
 */
export type InFlightListener = (
  targetKey: number,
  calls: number,
  freeSlots: number,
  isUrgent: boolean,
) => void;
