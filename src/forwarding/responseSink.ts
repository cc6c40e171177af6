import { type ServerResponse } from 'node:http';

import { type BodyEnd, type BodySink } from './transmission';

/** Passes the body of an answer to a caller; a truncated one closes the caller's connection. */
export class ResponseSink implements BodySink {
  private corked = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly ended: (end: BodyEnd) => void,
  ) {}

  data(chunk: Buffer, drained: () => void): boolean {
    this.gatherWrites();
    const more = this.response.write(chunk);
    if (!more) this.response.once('drain', drained);
    return more;
  }

  end(end: BodyEnd): void {
    if (end === 'whole') this.response.end();
    else this.response.destroy();
    this.ended(end);
  }

  // Head, body and end of a small answer leave in one packet instead of three.
  private gatherWrites(): void {
    if (this.corked) return;
    this.corked = true;
    this.response.cork();
    process.nextTick(() => {
      this.corked = false;
      this.response.uncork();
    });
  }
}
