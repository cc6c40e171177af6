import { CONTROL_SETTINGS, formatSettingsError, readSettings } from '../settings';

import { type Command } from './command';
import { COMMANDS } from './commands';
import { type ControlIo } from './controlIo';
import { EXIT } from './exitCode';
import { GatewayClient } from './gatewayClient';
import { usageText } from './usageText';

interface CommandCall {
  readonly command: Command;
  readonly argument: string;
}

function parseCommand(words: readonly string[], force: boolean): CommandCall | string {
  const found = [words.slice(0, 2).join(' '), words[0] ?? '']
    .map((name) => ({ name, command: COMMANDS[name] }))
    .find(({ command }) => command !== undefined);
  if (found?.command === undefined) return `unknown command '${words.join(' ')}'; see --help`;
  const { name, command } = found;
  const rest = words.slice(name.split(' ').length);
  const expected = command.argument === '' ? 0 : 1;
  if (rest.length !== expected) return `'${name}' takes ${command.argument || 'no argument'}`;
  if (force && !command.takesForce) return `'${name}' does not take --force`;
  return { command, argument: rest[0] ?? '' };
}

function reportUsageErrors(io: ControlIo, messages: readonly string[]): number {
  for (const message of messages) io.err(`limpetknotctl: ${message}\n`);
  return EXIT.usage;
}

/** Runs limpetknotctl once and returns the exit code. */
export async function runControl(io: ControlIo): Promise<number> {
  const parsedSettings = readSettings(CONTROL_SETTINGS, io);
  if (parsedSettings.err) return reportUsageErrors(io, parsedSettings.val.map(formatSettingsError));
  const { values: settings, positionals } = parsedSettings.val;
  if (positionals.length === 0) {
    io.err(usageText());
    return EXIT.usage;
  }
  const parsedCommand = parseCommand(positionals, settings.force);
  if (typeof parsedCommand === 'string') return reportUsageErrors(io, [parsedCommand]);
  const client = new GatewayClient(settings['operator-token'], settings['time-limit']);
  try {
    return await parsedCommand.command.run({ io, settings, client }, parsedCommand.argument);
  } finally {
    await client.close();
  }
}
