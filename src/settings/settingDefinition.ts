import type * as z from 'zod';

/** One setting: a flag and an environment variable of the same name. */
export interface SettingDefinition {
  readonly schema: z.ZodType;
  /** Value taken when neither flag nor variable is given; null when the setting is required. */
  readonly fallback: string | null;
  readonly unit: string;
  /** A flag without value, read from the command line only; its value is 'true' or the fallback. */
  readonly isSwitch?: boolean;
  readonly description: string;
}

/** Settings by flag name, without the leading dashes. */
export type SettingTable = Readonly<Record<string, SettingDefinition>>;

/** Checked values of a table of settings. */
export type SettingValues<Table extends SettingTable> = {
  readonly [Name in keyof Table]: z.output<Table[Name]['schema']>;
};
