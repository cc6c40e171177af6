/**
 * Is told of each change in the number of this host's calls at a target, which has `room` slots left;
 * `isUrgent` when a call has just taken one of the last.
 */
export type FlightListener = (
  targetKey: number,
  calls: number,
  room: number,
  isUrgent: boolean,
) => void;
