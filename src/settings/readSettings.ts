import { parseArgs } from 'node:util';

import { Err, Ok, type Result } from 'ts-results';

import { type SettingTable, type SettingValues } from './settingDefinition';
import { type SettingsError } from './settingsError';

/** Environment variable of a flag: `caller-port` is LIMPETKNOT_CALLER_PORT. */
export function variableOf(flag: string): string {
  return `LIMPETKNOT_${flag.replaceAll('-', '_').toUpperCase()}`;
}

/** What the command line and the environment give. */
export interface SettingsSource {
  readonly arguments: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Settings of a file by flag name; unknown ones are ignored. */
  readonly file?: Readonly<Record<string, string>>;
}

/** Checked settings, and the words of the command line that are no flags. */
export interface SettingsReading<Table extends SettingTable> {
  readonly values: SettingValues<Table>;
  readonly positionals: readonly string[];
}

/** Reads settings from flags, environment variables and a file, in this order; reports all mistakes at once. */
export function readSettings<Table extends SettingTable>(
  table: Table,
  source: SettingsSource,
): Result<SettingsReading<Table>, readonly SettingsError[]> {
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
    const variable = definition.isSwitch ? undefined : source.environment[variableOf(flag)];
    const given = flagValue ?? variable ?? source.file?.[flag] ?? definition.fallback;
    if (given === null || given === undefined) {
      errors.push({ setting: flag, message: `is required (--${flag} or ${variableOf(flag)})` });
      continue;
    }
    const checked = definition.schema.safeParse(given);
    if (checked.success) values[flag] = checked.data;
    else {
      const message = checked.error.issues.map((issue) => issue.message).join('; ');
      errors.push({ setting: flag, message: `'${String(given)}' is not valid: ${message}` });
    }
  }
  if (errors.length > 0) return Err(errors);
  return Ok({ values: Object.freeze(values) as SettingValues<Table>, positionals });
}
