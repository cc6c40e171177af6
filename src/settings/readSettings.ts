import { parseArgs } from 'node:util';

import { Err, Ok, type Result } from 'ts-results';

import { type SettingTable, type SettingValues } from './settingDefinition';
import { type SettingsError } from './settingsError';

/** Name of a flag's environment variable: LIMPETKNOT_CALLER_PORT for `caller-port`. */
export function environmentVariableOf(flag: string): string {
  return `LIMPETKNOT_${flag.replaceAll('-', '_').toUpperCase()}`;
}

/** Command line, environment and settings file to read settings from. */
export interface SettingsSource {
  readonly arguments: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  /**
   * Settings from a file by flag name; unknown ones are ignored. One without text counts as absent if it
   * has a default, since the file may be made from a template whose value is missing.
   */
  readonly file?: Readonly<Record<string, string>>;
}

/** Validated settings and the positional arguments of the command line. */
export interface ParsedSettings<Table extends SettingTable> {
  readonly values: SettingValues<Table>;
  readonly positionals: readonly string[];
}

/**
 * Reads settings from flags, environment variables, a file and defaults, in this order of
 * precedence, and reports all errors at once.
 */
export function readSettings<Table extends SettingTable>(
  table: Table,
  source: SettingsSource,
): Result<ParsedSettings<Table>, readonly SettingsError[]> {
  const options = Object.fromEntries(
    Object.entries(table).map(([flag, { isSwitch }]) => [
      flag,
      { type: isSwitch ? ('boolean' as const) : ('string' as const) },
    ]),
  );
  const errors: SettingsError[] = [];
  let flags: Readonly<Record<string, unknown>> = {};
  let positionals: readonly string[] = [];
  try {
    const parsed = parseArgs({ args: [...source.arguments], options, allowPositionals: true });
    flags = parsed.values;
    positionals = parsed.positionals;
  } catch (error) {
    return Err([{ setting: '', message: (error as Error).message }]);
  }
  const values: Record<string, unknown> = {};
  for (const [flag, definition] of Object.entries(table)) {
    const flagValue = flags[flag] === true ? 'true' : flags[flag];
    const variable = definition.isSwitch
      ? undefined
      : source.environment[environmentVariableOf(flag)];
    const fileValue = source.file?.[flag];
    const fileOrFallback = fileValue === '' ? (definition.fallback ?? '') : fileValue;
    const rawValue = flagValue ?? variable ?? fileOrFallback ?? definition.fallback;
    if (rawValue === null || rawValue === undefined) {
      errors.push({
        setting: flag,
        message: `is required (--${flag} or ${environmentVariableOf(flag)})`,
      });
      continue;
    }
    const result = definition.schema.safeParse(rawValue);
    if (result.success) values[flag] = result.data;
    else {
      const message = result.error.issues.map((issue) => issue.message).join('; ');
      errors.push({ setting: flag, message: `'${String(rawValue)}' is invalid: ${message}` });
    }
  }
  if (errors.length > 0) return Err(errors);
  return Ok({ values: Object.freeze(values) as SettingValues<Table>, positionals });
}
