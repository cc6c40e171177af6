/** Sends and receives datagrams; tests use an in-memory implementation. */
export interface DatagramLink {
  send(ip: string, bytes: Buffer): void;
  onDatagram(listener: (bytes: Buffer, fromIp: string) => void): void;
  close(): Promise<void>;
}
