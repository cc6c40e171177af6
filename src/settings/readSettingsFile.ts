import { readFileSync } from 'node:fs';

import { Err, Ok, type Result } from 'ts-results';

/**
 * Reads a settings file: a line `flag=value` for each setting, empty lines and lines that begin
 * with `#` apart. The error is the message of the file system or names the line.
 */
export function readSettingsFile(path: string): Result<Readonly<Record<string, string>>, string> {
  let text: string;
  try {
    // A small local file, read at start and on changes only.
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
    if (separator < 1) return Err(`${path}, line ${index + 1}: not of the form flag=value`);
    settings[trimmed.slice(0, separator).trim()] = trimmed.slice(separator + 1).trim();
  }
  return Ok(settings);
}
