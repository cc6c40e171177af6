/** Inputs of the process: arguments, environment and settings file. */
export interface BalancerCommand {
  readonly arguments: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Path of the settings file; null when there is none. */
  readonly settingsFile: string | null;
}
