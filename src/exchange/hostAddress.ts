/** Address at which other hosts reach a host of the system. */
export interface HostAddress {
  readonly id: string;
  readonly zone: string;
  /** IP address without a port; all hosts use the same datagram port. */
  readonly ip: string;
}
