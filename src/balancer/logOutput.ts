import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { type Writable } from 'node:stream';

const STANDARD_OUTPUT = 1;

/**
 * Standard output for log lines. Node.js writes to a pipe synchronously, so that a reader that
 * stands still would stop the process; a socket on the same descriptor does not block.
 */
export function openLogOutput(): Writable {
  let output: Writable = process.stdout;
  try {
    // The kind of one descriptor, looked at once at start.
    // eslint-disable-next-line n/no-sync
    const kind = fstatSync(STANDARD_OUTPUT);
    if (kind.isFIFO() || kind.isSocket()) {
      output = new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true });
    }
  } catch {
    // Standard output is closed or of a kind that cannot be opened again: use it as it is.
    output = process.stdout;
  }
  // Without a reader there is nobody to tell; the process goes on.
  output.on('error', () => {});
  return output;
}
