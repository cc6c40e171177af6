import { closeSync, constants, fstatSync, openSync, readFileSync } from 'node:fs';

import { Err, type Result } from 'ts-results';

import { type Clock } from '../runtime';

import { findSettingsEnd, parseSettingsFile } from './parseSettingsFile';

// A file without marks that does not end with a line end is taken once it has not changed for so long.
const UNCHANGED_MS = 2000;

// Far above any settings; a larger file could take more memory than the process has.
const MAX_BYTES = 1024 * 1024;

// Blocks only briefly: the file is small and local, and is read at start and on changes only.
/* eslint-disable n/no-sync */
function readText(path: string): string {
  // Opens for reading; without this flag the call would wait for the writer of a named pipe.
  const descriptor = openSync(path, constants.O_NONBLOCK);
  try {
    const status = fstatSync(descriptor);
    if (!status.isFile()) throw new Error(`${path} is not a regular file`);
    if (status.size > MAX_BYTES) throw new Error(`${path} has more than ${MAX_BYTES} bytes`);
    return readFileSync(descriptor, 'utf8');
  } finally {
    closeSync(descriptor);
  }
}
/* eslint-enable n/no-sync */

/** A settings file, which may be rewritten at any time and then be read before it is complete. */
export class SettingsFile {
  private lastText: string | null = null;

  /** Monotonic time at which the text was first read as it is. */
  private unchangedSince = 0;

  constructor(
    private readonly path: string,
    private readonly clock: Clock,
  ) {}

  /** Reads the file; the error says why it can't be read or is not taken as complete. */
  read(): Result<Readonly<Record<string, string>>, string> {
    let text: string;
    try {
      text = readText(this.path);
    } catch (error) {
      return Err((error as Error).message);
    }
    if (text !== this.lastText) this.unchangedSince = this.clock.now();
    this.lastText = text;
    const isUnchanged = this.clock.now() - this.unchangedSince >= UNCHANGED_MS;
    const end = findSettingsEnd(text);
    if (end === 'cut' || (end === 'unknown' && !isUnchanged))
      return Err(`${this.path} is cut short: its last line is missing or incomplete`);
    return parseSettingsFile(text).mapErr((reason) => `${this.path}, ${reason}`);
  }
}
