import { type EventSink } from '../logging';
import { type Clock, waitUntil } from '../runtime';
import {
  BALANCER_SETTINGS,
  type BalancerSettings,
  formatSettingsError,
  readSettings,
  readSettingsFile,
} from '../settings';

import { type BalancerCommand } from './balancerCommand';
import { BALANCER_EVENTS } from './events';

// The platform may be writing the settings file while the process starts.
const SETTINGS_TIMEOUT_MS = 2000;
const SETTINGS_RETRY_MS = 50;

/** Settings of the process, or what is wrong with them. */
export type SettingsOutcome =
  { readonly settings: BalancerSettings } | { readonly errors: readonly string[] };

/** Reads the settings from arguments, environment and file. */
export function readAllSettings(command: BalancerCommand): SettingsOutcome {
  const file = command.settingsFile === null ? null : readSettingsFile(command.settingsFile);
  if (file !== null && file.err) return { errors: [file.val] };
  const { environment } = command;
  const source = { arguments: command.arguments, environment, file: file?.val ?? {} };
  const read = readSettings(BALANCER_SETTINGS, source);
  return read.ok ? { settings: read.val.values } : { errors: read.val.map(formatSettingsError) };
}

/** Reads the settings again until they are complete, for at most two seconds or until `stopped`. */
export async function awaitSettings(
  command: BalancerCommand,
  clock: Clock,
  events: EventSink,
  stopped: AbortSignal,
): Promise<SettingsOutcome> {
  const startedAt = clock.now();
  let read = readAllSettings(command);
  if ('settings' in read || command.settingsFile === null) return read;
  events.emit(BALANCER_EVENTS.settingsAwaited, { errors: read.errors });
  const deadline = startedAt + SETTINGS_TIMEOUT_MS;
  while (!('settings' in read) && clock.now() < deadline && !stopped.aborted) {
    await waitUntil(clock, clock.now() + SETTINGS_RETRY_MS, stopped);
    read = readAllSettings(command);
  }
  if ('settings' in read)
    events.emit(BALANCER_EVENTS.settingsRead, { waitedMs: Math.round(clock.now() - startedAt) });
  return read;
}
