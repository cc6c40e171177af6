/** Upper bounds of the connections of this host to all targets. */
export interface ConnectionLimits {
  readonly open: number;
  /** A hedge is sent only while fewer connections carry a call. */
  readonly inUseForHedges: number;
}

export const NO_CONNECTION_LIMITS: ConnectionLimits = { open: Infinity, inUseForHedges: Infinity };
