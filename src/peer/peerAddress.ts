/** Address of a host for control messages. */
export interface PeerAddress {
  readonly hostId: string;
  /** ADDRESS:PORT; IPv6 addresses in brackets. */
  readonly address: string;
}
