import { createSocket, type Socket } from 'node:dgram';

/** Sends and receives datagrams; tests use an in-memory implementation. */
export interface DatagramLink {
  send(ip: string, bytes: Buffer): void;
  onDatagram(listener: (bytes: Buffer, fromIp: string) => void): void;
  close(): Promise<void>;
}

type LookupCallback = (error: null, address: string, family: number) => void;

/**
 * Opens a UDP socket on `ip` and `port`. Datagrams are sent to `port` at other hosts too, since all
 * hosts use the same datagram port.
 */
export function openDatagramLink(
  ip: string,
  port: number,
  onError: (error: Error) => void,
): Promise<DatagramLink> {
  // Destinations are IPv4 literals, so there is no name to resolve. The default lookup would defer
  // each send with process.nextTick even then; this one calls back synchronously.
  const lookup = (host: string, _options: unknown, callback: LookupCallback) =>
    callback(null, host, 4);
  const socket: Socket = createSocket({ type: 'udp4', lookup });
  return new Promise((resolve, reject) => {
    const onBindError = (error: Error) => {
      socket.close();
      reject(error);
    };
    socket.once('error', onBindError);
    socket.bind(port, ip, () => {
      socket.off('error', onBindError);
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
