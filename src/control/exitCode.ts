/** Exit codes of limpetknotctl. */
export const EXIT = {
  done: 0,
  /** The order was not accepted, the sheet has errors, or a gateway refused a request. */
  refused: 1,
  usage: 2,
  /** No gateway could be reached, so no order was submitted. */
  unreachable: 3,
  /** The outcome of the order is unknown; a retry with the same id is safe. */
  unknown: 4,
} as const;
