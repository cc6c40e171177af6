import { CONTROL_SETTINGS, helpText } from '../settings';

import { COMMANDS } from './commands';

/** Returns the output of `--help`. */
export function usageText(): string {
  const commands = Object.entries(COMMANDS).flatMap(([words, command]) => {
    const argument = command.argument === '' ? '' : ` ${command.argument}`;
    const force = command.takesForce ? ' [--force]' : '';
    return [`  ${words}${argument}${force}`, `      ${command.description}`];
  });
  return [
    'Usage: limpetknotctl COMMAND [settings]',
    '',
    'Commands:',
    ...commands,
    '',
    'Settings:',
    helpText(CONTROL_SETTINGS),
    '  --help, --version',
    '',
    'Exit codes: 0 done, 1 refused or invalid, 2 wrong usage, 3 no gateway reachable,',
    '4 outcome unknown: repeat with the printed --order-id.',
    '',
  ].join('\n');
}
