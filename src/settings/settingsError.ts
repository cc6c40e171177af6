/** An invalid or missing setting. */
export interface SettingsError {
  /** Flag name without leading dashes; empty when the command line cannot be parsed. */
  readonly setting: string;
  readonly message: string;
}

/** Formats an error as one line that names the setting. */
export function formatSettingsError(error: SettingsError): string {
  return error.setting === '' ? error.message : `--${error.setting} ${error.message}`;
}
