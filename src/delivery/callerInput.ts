import { type Socket } from 'node:net';

import { type TurnQueue } from '../runtime';

// The parser handles all that it is given at once. A read of 64 KB may hold hundreds of calls, or ten
// thousand chunks of a body.
const PORTION_BYTES = 4096;

/** What a caller sends, which its parser gets in portions, so that no caller holds up the others. */
export class CallerInput {
  /** What was read and not parsed yet. */
  private unparsed: Buffer[] = [];

  /** Whether Node.js has paused the socket, for a body or answers that are not read. */
  private isPaused = false;

  private isHeld = false;

  private isQueued = false;

  private readonly parse: (chunk: Buffer) => void;

  private readonly pauseSocket: () => void;

  private readonly resumeSocket: () => void;

  /** To be created once Node.js has attached its parser to the socket. */
  constructor(
    private readonly socket: Socket,
    private readonly turns: TurnQueue,
  ) {
    const [parse] = socket.listeners('data') as [(chunk: Buffer) => void];
    this.parse = parse;
    this.pauseSocket = socket.pause.bind(socket);
    this.resumeSocket = socket.resume.bind(socket);
    socket.pause = () => {
      this.isPaused = true;
      this.pauseSocket();
      return socket;
    };
    socket.resume = () => {
      this.isPaused = false;
      this.proceed();
      return socket;
    };
    socket.removeListener('data', parse);
    socket.on('data', (chunk) => this.receive(chunk));
  }

  /** Parses nothing further until `release` is called. */
  hold(): void {
    this.isHeld = true;
    this.pauseSocket();
  }

  /** Ends a hold. */
  release(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    this.proceed();
  }

  private receive(chunk: Buffer): void {
    const mayParse = !this.isPaused && !this.isHeld && this.unparsed.length === 0;
    if (mayParse && chunk.length <= PORTION_BYTES) {
      this.parse(chunk);
      return;
    }
    this.unparsed.push(chunk);
    this.pauseSocket();
    this.proceed();
  }

  private proceed(): void {
    if (this.isPaused || this.isHeld || this.isQueued) return;
    if (this.unparsed.length === 0) {
      this.resumeSocket();
      return;
    }
    this.isQueued = true;
    this.turns.add(() => {
      this.isQueued = false;
      if (this.socket.destroyed || this.isPaused || this.isHeld) return;
      this.parse(this.nextPortion());
      this.proceed();
    });
  }

  private nextPortion(): Buffer {
    const first = this.unparsed[0]!;
    if (first.length <= PORTION_BYTES) this.unparsed.shift();
    else this.unparsed[0] = first.subarray(PORTION_BYTES);
    return first.subarray(0, PORTION_BYTES);
  }
}
