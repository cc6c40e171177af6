/** Counts the connections of this host to all targets. */
export class ConnectionCount {
  /** Connections that are open or opening. */
  open = 0;

  /** Those of them that carry a call. */
  inUse = 0;
}
