import { CONTROL_SETTINGS, formatSettingsError, readSettings } from '../settings';

import { type Command } from './command';
import { COMMANDS } from './commands';
import { type ControlIo } from './controlIo';
import { EXIT } from './exitCode';
import { GatewayClient } from './gatewayClient';
import { usageText } from './usageText';

interface Chosen {
  readonly command: Command;
  readonly argument: string;
}

function chooseCommand(words: readonly string[], force: boolean): Chosen | string {
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

function fail(io: ControlIo, messages: readonly string[]): number {
  for (const message of messages) io.err(`limpetknotctl: ${message}\n`);
  return EXIT.usage;
}

/** Runs limpetknotctl once and returns the exit code. */
export async function runControl(io: ControlIo): Promise<number> {
  const reading = readSettings(CONTROL_SETTINGS, io);
  if (reading.err) return fail(io, reading.val.map(formatSettingsError));
  const { values: settings, positionals } = reading.val;
  if (positionals.length === 0) {
    io.err(usageText());
    return EXIT.usage;
  }
  const chosen = chooseCommand(positionals, settings.force);
  if (typeof chosen === 'string') return fail(io, [chosen]);
  const client = new GatewayClient(settings['operator-token'], settings['time-limit']);
  try {
    return await chosen.command.run({ io, settings, client }, chosen.argument);
  } finally {
    await client.close();
  }
}
