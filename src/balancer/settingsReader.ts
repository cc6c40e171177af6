import { type EventSink } from '../logging';
import { type Clock, waitUntil } from '../runtime';
import {
  BALANCER_SETTINGS,
  type BalancerSettings,
  formatSettingsError,
  readSettings,
  SettingsFile,
} from '../settings';

import { type BalancerCommand } from './balancerCommand';
import { BALANCER_EVENTS } from './events';

const RETRY_MS = 100;

/** Settings of the process, or what is wrong with them. */
export type SettingsOutcome =
  | { readonly settings: BalancerSettings }
  | { readonly errors: readonly string[]; readonly mayPass: boolean };

/** Reads the settings from arguments, environment and file. */
export class SettingsReader {
  private readonly file: SettingsFile | null;

  constructor(
    private readonly command: BalancerCommand,
    private readonly clock: Clock,
  ) {
    const { settingsFile } = command;
    this.file = settingsFile === null ? null : new SettingsFile(settingsFile, clock);
  }

  /** Reads the settings once. Errors may pass when the settings file is written again. */
  read(): SettingsOutcome {
    const file = this.file?.read();
    if (file?.err) return { errors: [file.val], mayPass: true };
    const { environment } = this.command;
    const source = { arguments: this.command.arguments, environment, file: file?.val ?? {} };
    const read = readSettings(BALANCER_SETTINGS, source);
    if (read.ok) return { settings: read.val.values };
    const areArgumentsReadable = read.val.every(({ setting }) => setting !== '');
    const mayPass = file !== undefined && areArgumentsReadable;
    return { errors: read.val.map(formatSettingsError), mayPass };
  }

  /** Reads the settings again for as long as their errors may pass, or until `stopped`. */
  async readComplete(events: EventSink, stopped: AbortSignal): Promise<SettingsOutcome> {
    const startedAt = this.clock.now();
    let outcome = this.read();
    if ('settings' in outcome || !outcome.mayPass) return outcome;
    events.emit(BALANCER_EVENTS.settingsAwaited, { errors: outcome.errors });
    while ('errors' in outcome && outcome.mayPass && !stopped.aborted) {
      await waitUntil(this.clock, this.clock.now() + RETRY_MS, stopped);
      outcome = this.read();
    }
    const waitedMs = Math.round(this.clock.now() - startedAt);
    if ('settings' in outcome) events.emit(BALANCER_EVENTS.settingsRead, { waitedMs });
    return outcome;
  }
}
