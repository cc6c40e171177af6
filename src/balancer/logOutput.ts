import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { type Writable } from 'node:stream';

const STANDARD_OUTPUT = 1;

/**
 * Opens standard output for log lines. Node.js writes to a pipe synchronously, so a reader that
 * stalls would block the process; a socket on the same descriptor does not block.
 */
export function openLogOutput(): Writable {
  let output: Writable = process.stdout;
  try {
    // One fstat call at start.
    // eslint-disable-next-line n/no-sync
    const kind = fstatSync(STANDARD_OUTPUT);
    if (kind.isFIFO() || kind.isSocket()) {
      output = new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true });
    }
  } catch {
    // Standard output is closed or cannot be reopened as a socket; use the stream of Node.js.
    output = process.stdout;
  }
  // A write error means that the reader is gone; the process continues without a log.
  output.on('error', () => {});
  return output;
}
