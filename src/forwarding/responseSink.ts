import { type ServerResponse } from 'node:http';

import { type BodyEnd, type BodySink } from './transmission';

/** Writes an answer's body to the caller; a truncated body closes the caller's connection. */
export class ResponseSink implements BodySink {
  private isCorked = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly onEnd: (end: BodyEnd) => void,
  ) {}

  data(chunk: Buffer, drained: () => void): boolean {
    this.corkUntilNextTick();
    const hasCapacity = this.response.write(chunk);
    if (!hasCapacity) this.response.once('drain', drained);
    return hasCapacity;
  }

  end(end: BodyEnd): void {
    if (end === 'whole') this.response.end();
    else this.response.destroy();
    this.onEnd(end);
  }

  // Sends head, body and end of a small response in one packet instead of three.
  private corkUntilNextTick(): void {
    if (this.isCorked) return;
    this.isCorked = true;
    this.response.cork();
    process.nextTick(() => {
      this.isCorked = false;
      this.response.uncork();
    });
  }
}
