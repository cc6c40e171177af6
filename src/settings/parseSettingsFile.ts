import { Err, Ok, type Result } from 'ts-results';

/** First line of a file whose writer promises to end it with `END_LINE`. */
const BEGIN_LINE = '# begin of settings';
const END_LINE = '# end of settings';

/** Whether a file was read to its end, as far as its text shows. */
export type SettingsFileEnd = 'complete' | 'cut' | 'unknown';

/**
 * Tells whether the text of a settings file is cut short. A file that begins with the line
 * `# begin of settings` is complete if its last line is `# end of settings`. Others are taken as complete
 * at the end of a line; the rest may be cut within a value.
 */
export function findSettingsEnd(text: string): SettingsFileEnd {
  const lines = text.trimEnd().split('\n');
  if (lines[0]!.trim() === BEGIN_LINE)
    return lines.at(-1)!.trim() === END_LINE ? 'complete' : 'cut';
  return text === '' || text.endsWith('\n') ? 'complete' : 'unknown';
}

/**
 * Parses a settings file with one `flag=value` per line; empty lines and lines that begin with `#` are
 * ignored. The error names the malformed line.
 */
export function parseSettingsFile(text: string): Result<Readonly<Record<string, string>>, string> {
  const settings: Record<string, string> = {};
  for (const [index, line] of text.split('\n').entries()) {
    const trimmed = line.trim();
    if (trimmed === '' || trimmed.startsWith('#')) continue;
    const separator = trimmed.indexOf('=');
    if (separator < 1) return Err(`line ${index + 1}: expected flag=value`);
    settings[trimmed.slice(0, separator).trim()] = trimmed.slice(separator + 1).trim();
  }
  return Ok(settings);
}
