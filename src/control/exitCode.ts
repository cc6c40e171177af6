/** Exit codes of limpetknotctl. */
export const EXIT = {
  done: 0,
  /** The order was not accepted, or the sheet has mistakes. */
  refused: 1,
  usage: 2,
  /** No gateway could be reached, so nothing was ordered. */
  unreachable: 3,
  /** The order may or may not hold; repeating it with the same id is safe. */
  unknown: 4,
} as const;
