import { createSocket, type Socket } from 'node:dgram';

/** Sends and receives datagrams; tests pass a link in memory. */
export interface DatagramLink {
  send(ip: string, bytes: Buffer): void;
  onDatagram(listener: (bytes: Buffer, fromIp: string) => void): void;
  close(): Promise<void>;
}

type LookupDone = (error: null, address: string, family: number) => void;

/** Opens a UDP socket at `ip` and `port`; other hosts use the same port. */
export function openDatagramLink(
  ip: string,
  port: number,
  onError: (error: Error) => void,
): Promise<DatagramLink> {
  // Hosts are known by their addresses; the usual look-up of names would defer each datagram by a turn.
  const lookup = (host: string, _options: unknown, done: LookupDone) => done(null, host, 4);
  const socket: Socket = createSocket({ type: 'udp4', lookup });
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(port, ip, () => {
      socket.off('error', reject);
      socket.on('error', onError);
      resolve({
        send: (to, bytes) => {
          socket.send(bytes, port, to, (error) => {
            if (error !== null) onError(error);
          });
        },
        onDatagram: (listener) => {
          socket.on('message', (bytes, from) => listener(bytes, from.address));
        },
        close: () =>
          new Promise((closed) => {
            socket.close(() => closed());
          }),
      });
    });
  });
}
