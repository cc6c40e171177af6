/** Where the control messages of a host go. */
export interface PeerAddress {
  readonly hostId: string;
  /** ADDRESS:PORT; IPv6 addresses in brackets. */
  readonly address: string;
}
