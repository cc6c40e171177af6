/** Where a host of the system is reached by the other hosts. */
export interface HostAddress {
  readonly id: string;
  readonly zone: string;
  /** IP address without a port; all hosts use the same port for datagrams. */
  readonly ip: string;
}
