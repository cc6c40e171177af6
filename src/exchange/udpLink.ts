import { createSocket, type Socket } from 'node:dgram';

import { Err, Ok, type Result } from 'ts-results';

import { type DatagramLink } from './datagramLink';

type LookupCallback = (error: null, address: string, family: number) => void;

// Destinations are IPv4 literals, so there is no name to resolve. The default lookup would defer each
// send with process.nextTick even then; this one calls back synchronously.
function lookup(host: string, _options: unknown, callback: LookupCallback): void {
  callback(null, host, 4);
}

/**
 * A UDP socket that can be opened later; until then datagrams are lost, as the network may lose any.
 * They are sent to its own port at other hosts too, since all hosts use the same datagram port.
 */
export class UdpLink implements DatagramLink {
  private socket: Socket | null = null;

  private port = 0;

  private readonly listeners: ((bytes: Buffer, fromIp: string) => void)[] = [];

  constructor(private readonly onError: (error: Error) => void) {}

  /** Opens the socket; the error is the message of the operating system. */
  open(ip: string, port: number): Promise<Result<void, string>> {
    const socket = createSocket({ type: 'udp4', lookup });
    return new Promise((resolve) => {
      const fail = (error: Error) => {
        socket.close();
        resolve(Err(error.message));
      };
      socket.once('error', fail);
      try {
        socket.bind(port, ip, () => {
          socket.off('error', fail);
          socket.on('error', this.onError);
          socket.on('message', (bytes, from) => {
            for (const listener of this.listeners) listener(bytes, from.address);
          });
          this.socket = socket;
          this.port = port;
          resolve(Ok(undefined));
        });
      } catch (error) {
        // A port that is out of range.
        fail(error as Error);
      }
    });
  }

  send(ip: string, bytes: Buffer): void {
    const { socket } = this;
    if (socket === null) return;
    socket.send(bytes, this.port, ip, (error) => {
      if (error !== null) this.onError(error);
    });
  }

  onDatagram(listener: (bytes: Buffer, fromIp: string) => void): void {
    this.listeners.push(listener);
  }

  close(): Promise<void> {
    const { socket } = this;
    this.socket = null;
    if (socket === null) return Promise.resolve();
    return new Promise((resolve) => {
      socket.close(() => resolve());
    });
  }
}
