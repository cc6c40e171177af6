import type * as z from 'zod';

/** A setting, read from a flag and an environment variable of the same name. */
export interface SettingDefinition {
  readonly schema: z.ZodType;
  /** Default when the setting is not given anywhere; null when it is required. */
  readonly fallback: string | null;
  readonly unit: string;
  /** A flag without a value, not read from the environment; it is 'true' or the fallback. */
  readonly isSwitch?: boolean;
  readonly description: string;
}

/** Settings by flag name, without the leading dashes. */
export type SettingTable = Readonly<Record<string, SettingDefinition>>;

/** Validated values of a table of settings. */
export type SettingValues<Table extends SettingTable> = {
  readonly [Name in keyof Table]: z.output<Table[Name]['schema']>;
};
