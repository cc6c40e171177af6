import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { ManualClock } from '../src/runtime';
import {
  BALANCER_SETTINGS,
  findSettingsEnd,
  formatSettingsError,
  GATEWAY_SETTINGS,
  helpText,
  parseSettingsFile,
  readSettings,
  SettingsFile,
} from '../src/settings';

const REQUIRED = {
  LIMPETKNOT_HOST_ID: 'host-1',
  LIMPETKNOT_ZONE: 'zone-1',
  LIMPETKNOT_CONFIGURATION_URL: 'http://127.0.0.1:9000',
  LIMPETKNOT_HOST_LIST_URL: 'http://127.0.0.1:9000',
  LIMPETKNOT_PEER_SECRET: 'a-secret-for-tests-only',
};

// Guards against an environment variable that overrides a flag.
test('a flag overrides the environment variable, which overrides the default', () => {
  const read = readSettings(GATEWAY_SETTINGS, {
    arguments: ['--caller-port', '9001'],
    environment: { ...REQUIRED, LIMPETKNOT_CALLER_PORT: '9002', LIMPETKNOT_RELAY_PORT: '9003' },
  }).unwrap();
  expect(read.values['caller-port']).toBe(9001);
  expect(read.values['relay-port']).toBe(9003);
  expect(read.values['peer-port']).toBe(8082);
});

// Guards against reporting only the first error, so that each one takes another start to find.
test('all errors are reported at once, with the name of the setting', () => {
  const read = readSettings(GATEWAY_SETTINGS, {
    arguments: ['--caller-port', 'many', '--peers', 'nowhere'],
    environment: { LIMPETKNOT_HOST_ID: 'Host 1' },
  });
  const messages = read.err ? read.val.map(formatSettingsError) : [];
  const names = messages.map((message) => message.split(' ')[0]);
  expect(names).toEqual([
    '--host-id',
    '--zone',
    '--caller-port',
    '--configuration-url',
    '--host-list-url',
    '--peers',
    '--peer-secret',
  ]);
});

// Guards against silently ignoring a mistyped flag.
test('an unknown flag is an error', () => {
  const read = readSettings(GATEWAY_SETTINGS, {
    arguments: ['--caler-port', '1'],
    environment: REQUIRED,
  });
  expect(read.err).toBe(true);
});

// Guards against settings that are missing from --help.
test('the help text names each setting with its variable and default', () => {
  const text = helpText(GATEWAY_SETTINGS);
  for (const flag of Object.keys(GATEWAY_SETTINGS))
    expect(text).toContain(`--${flag}, LIMPETKNOT_`);
  expect(text).toContain("default '8080'");
});

// Guards against taking a settings file that is still being written for a complete one.
test('a file with marks is complete only with its last line, however it is cut', () => {
  const template = readFileSync(join(__dirname, '..', 'deploy', 'settings.template'), 'utf8');
  const whole = template.trimEnd();
  expect(findSettingsEnd(template)).toBe('complete');
  for (let length = 0; length < whole.length; length += 1) {
    const cut = whole.slice(0, length);
    const isTaken = findSettingsEnd(cut) === 'complete';
    expect(isTaken && Object.keys(parseSettingsFile(cut).unwrap()).length > 0).toBe(false);
  }
});

// Guards against a file of an older version, or of an editor, that is never taken.
test.each([
  ['zone=a\n', 0],
  ['zone=a', 2000],
  ['zone=', 2000],
])('a file without marks is taken: %j', (text, waitMs) => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const path = join(folder, 'settings');
  writeFileSync(path, text);
  const clock = new ManualClock();
  const file = new SettingsFile(path, clock);
  expect(file.read().ok).toBe(waitMs === 0);
  clock.advanceBy(Math.max(0, waitMs - 1));
  expect(file.read().ok).toBe(waitMs === 0);
  clock.advanceBy(1);
  expect(file.read().ok).toBe(true);
  rmSync(folder, { recursive: true });
});

// Guards against a host that waits without end for a value that has a default, because the field of the
// template is not in force and therefore empty.
test('a setting without text in the file has its default', () => {
  const required = {
    ...{
      'host-id': 'host-1',
      zone: 'a',
      zones: 'a',
      'exchange-port': '7620',
      source: '10.0.0.9:80',
    },
    'caller-address': '10.0.0.1:1',
    'readiness-address': '10.0.0.1:2',
    'control-address': '10.0.0.1:3',
  };
  const valuesOf = (file: Record<string, string>) =>
    readSettings(BALANCER_SETTINGS, { arguments: [], environment: {}, file }).unwrap().values;
  const optional = Object.keys(BALANCER_SETTINGS).filter((flag) => !(flag in required));
  const empty = Object.fromEntries(optional.map((flag) => [flag, '']));
  expect(valuesOf({ ...empty, ...required })).toEqual(valuesOf(required));
  const withoutZone = { arguments: [], environment: {}, file: { ...required, zone: '' } };
  expect(readSettings(BALANCER_SETTINGS, withoutZone).err).toBe(true);
  // Guards against a host that cannot read the catalog since no URL has such an address.
  const impossible = {
    arguments: [],
    environment: {},
    file: { ...required, source: '999.0.0.1:80' },
  };
  expect(readSettings(BALANCER_SETTINGS, impossible).err).toBe(true);
});
