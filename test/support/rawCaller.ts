import { connect, type Socket } from 'node:net';

/** An answer that a raw caller received. */
export interface RawAnswer {
  readonly status: number;
  readonly isWhole: boolean;
  /** Body as received, without the framing of chunks. */
  readonly body: string;
}

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
    this.socket = connect({ port, host: ip, allowHalfOpen: true }, () => {
      this.openedAt = performance.now();
    });
    // Without a listener for the other side's end, this side would stay open.
    this.socket.on('end', () => this.socket.end());
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

  write(text: string | Buffer): void {
    this.socket.write(text);
  }

  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Ends its own side of the connection and goes on reading. */
  end(): void {
    this.socket.end();
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

  /** The answers to calls of one method in their order; only the last one can be incomplete. */
  answers(method = 'GET'): readonly RawAnswer[] {
    const answers: RawAnswer[] = [];
    let rest = this.text;
    while (rest !== '') {
      const headEnd = rest.indexOf('\r\n\r\n');
      const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(rest)?.[1]);
      if (headEnd < 0) return [...answers, { status, isWhole: false, body: '' }];
      const head = rest.slice(0, headEnd);
      rest = rest.slice(headEnd + 4);
      const hasBody = method !== 'HEAD' && status !== 204 && status !== 304;
      const length = hasBody ? /^content-length: (\d+)$/im.exec(head)?.[1] : '0';
      const end = length === undefined ? rest.indexOf('0\r\n\r\n') + 5 : Number(length);
      const isWhole = (length !== undefined || end >= 5) && rest.length >= end;
      const sent = rest.slice(0, end);
      const body = length === undefined ? sent.replaceAll(/[\da-f]+\r\n|\r\n/g, '') : sent;
      answers.push({ status, isWhole, body });
      rest = isWhole ? rest.slice(end) : '';
    }
    return answers;
  }
}
