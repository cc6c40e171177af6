/** One mistake in the settings. */
export interface SettingsError {
  /** Flag name without dashes; empty when the command line itself cannot be read. */
  readonly setting: string;
  readonly message: string;
}

/** One line that names the setting and the mistake. */
export function formatSettingsError(error: SettingsError): string {
  return error.setting === '' ? error.message : `--${error.setting} ${error.message}`;
}
