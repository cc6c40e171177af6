import { readFileSync } from 'node:fs';

import { Err, type Result } from 'ts-results';

import { type Clock } from '../runtime';

import { findSettingsEnd, parseSettingsFile } from './parseSettingsFile';

// A file without marks that does not end with a line end is taken once it has not changed for so long.
const UNCHANGED_MS = 2000;

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
      // Blocks only briefly: the file is small and local, and is read at start and on changes only.
      // eslint-disable-next-line n/no-sync
      text = readFileSync(this.path, 'utf8');
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
