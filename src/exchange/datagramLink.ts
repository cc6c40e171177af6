import { createSocket, type Socket } from 'node:dgram';

/** Sends and receives datagrams; tests use an in-memory implementation. */
export interface DatagramLink {
  send(ip: string, bytes: Buffer): void;
  onDatagram(listener: (bytes: Buffer, fromIp: string) => void): void;
  close(): Promise<void>;
}

type LookupCallback = (error: null, address: string, family: number) => void;

/** Opens a UDP socket on `ip` and `port`; datagrams are sent to the same port of other hosts. */
export function openDatagramLink(
  ip: string,
  port: number,
  onError: (error: Error) => void,
): Promise<DatagramLink> {
  // Hosts are addressed by IP; the default DNS lookup would delay each datagram by an event loop
  // tick.
  const lookup = (host: string, _options: unknown, callback: LookupCallback) =>
    callback(null, host, 4);
  const socket: Socket = createSocket({ type: 'udp4', lookup });
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(port, ip, () => {
      socket.off('error', reject);
      socket.on('error', onError);
      resolve({
        send: (toIp, bytes) => {
          socket.send(bytes, port, toIp, (error) => {
            if (error !== null) onError(error);
          });
        },
        onDatagram: (listener) => {
          socket.on('message', (bytes, from) => listener(bytes, from.address));
        },
        close: () =>
          new Promise((resolveClosed) => {
            socket.close(() => resolveClosed());
          }),
      });
    });
  });
}
