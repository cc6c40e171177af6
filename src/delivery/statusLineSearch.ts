const STATUS_LINE_START = Buffer.from('HTTP/1.', 'latin1');
const TAIL_BYTES = STATUS_LINE_START.length - 1;

/** Searches a body for the start of a status line, which the end of the body may cut off. */
export class StatusLineSearch {
  private hasMatch = false;

  private tail: Buffer = Buffer.alloc(0);

  /** Searches the next bytes of the body. */
  add(chunk: Buffer): void {
    const seam = Buffer.concat([this.tail, chunk.subarray(0, TAIL_BYTES)]);
    this.hasMatch ||= seam.includes(STATUS_LINE_START) || chunk.includes(STATUS_LINE_START);
    const end = chunk.length < TAIL_BYTES ? seam : chunk;
    this.tail = Buffer.from(end.subarray(-TAIL_BYTES));
  }

  /** Whether the body contains the start of a status line, or ends within one. */
  mayContain(): boolean {
    const { tail } = this;
    return (
      this.hasMatch ||
      tail.some((_, index) => STATUS_LINE_START.indexOf(tail.subarray(index)) === 0)
    );
  }
}
