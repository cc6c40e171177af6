import { connect, type Socket } from 'node:net';

/** A caller that writes and reads the bytes of its connection itself. */
export class RawCaller {
  text = '';

  readonly closed: Promise<void>;

  isClosed = false;

  /** Monotonic time in milliseconds at which the connection was established; null before. */
  openedAt: number | null = null;

  /** Monotonic time in milliseconds at which the connection closed; null before. */
  closedAt: number | null = null;

  private readonly socket: Socket;

  constructor(port: number, ip = '127.0.0.1') {
    this.socket = connect(port, ip, () => {
      this.openedAt = performance.now();
    });
    this.socket.on('data', (chunk) => {
      this.text += chunk.toString('latin1');
    });
    this.socket.on('error', () => {});
    this.closed = new Promise((resolve) => {
      this.socket.once('close', () => {
        this.isClosed = true;
        this.closedAt = performance.now();
        resolve();
      });
    });
  }

  write(text: string): void {
    this.socket.write(text);
  }

  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Closes the connection without reading further answers. */
  leave(): void {
    this.socket.destroy();
  }

  /** Statuses of the answers received. */
  statuses(): readonly string[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1]!);
  }

  /** Ids of the calls of which an answer was received. */
  answeredIds(): readonly string[] {
    return [...this.text.matchAll(/^request-id: (\S+)/gim)].map((match) => match[1]!);
  }
}
