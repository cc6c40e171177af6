import { readFileSync } from 'node:fs';

import { Err, Ok, type Result } from 'ts-results';

/**
 * Reads a settings file with one `flag=value` per line; empty lines and lines that begin with `#`
 * are ignored. The error is the message of the file system, or names the malformed line.
 */
export function readSettingsFile(path: string): Result<Readonly<Record<string, string>>, string> {
  let text: string;
  try {
    // Blocks only briefly: the file is small and local, and is read at start and on changes only.
    // eslint-disable-next-line n/no-sync
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return Err((error as Error).message);
  }
  const settings: Record<string, string> = {};
  for (const [index, line] of text.split('\n').entries()) {
    const trimmed = line.trim();
    if (trimmed === '' || trimmed.startsWith('#')) continue;
    const separator = trimmed.indexOf('=');
    if (separator < 1) return Err(`${path}, line ${index + 1}: expected flag=value`);
    settings[trimmed.slice(0, separator).trim()] = trimmed.slice(separator + 1).trim();
  }
  return Ok(settings);
}
