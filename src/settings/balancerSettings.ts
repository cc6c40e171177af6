import * as z from 'zod';

import { type SettingTable, type SettingValues } from './settingDefinition';

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/, 'must be a name');
const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'must be an IP address and a port');
const list = z.string().transform((text) => text.split(',').filter((part) => part !== ''));
const positive = z.coerce.number().positive();

/** Settings of limpetknot-balancer, the daemon for hosts without a sheet of their own. */
export const BALANCER_SETTINGS = {
  'host-id': { schema: name, fallback: null, unit: '', description: 'Id of this host.' },
  zone: { schema: name, fallback: null, unit: '', description: 'Availability zone of this host.' },
  zones: {
    schema: list.pipe(z.array(name).min(1)),
    fallback: null,
    unit: '',
    description: 'All availability zones of the region, joined by commas.',
  },
  'caller-address': {
    schema: address,
    fallback: null,
    unit: 'IP:port',
    description: 'Where callers are accepted.',
  },
  'readiness-address': {
    schema: address,
    fallback: null,
    unit: 'IP:port',
    description: 'Where readiness is asked for.',
  },
  'control-address': {
    schema: address,
    fallback: null,
    unit: 'IP:port',
    description: 'Where other hosts read the catalog, and operators status and metrics.',
  },
  'exchange-port': {
    schema: z
      .string()
      .transform((text) => Number(text.split(',')[0]))
      .pipe(z.number().int().min(1).max(65_535)),
    fallback: null,
    unit: 'port',
    description: 'UDP port of all hosts for messages between them; of a range, the first is used.',
  },
  'readiness-path': {
    schema: z.string().startsWith('/'),
    fallback: '/readyz',
    unit: '',
    description: 'Path that readiness is asked for with.',
  },
  'metrics-port': {
    schema: z.coerce.number().int().min(0).max(65_535),
    fallback: '0',
    unit: 'port',
    description: 'Port for metrics beside the control address; 0 for none.',
  },
  seeds: {
    schema: list.pipe(z.array(address)),
    fallback: '',
    unit: 'IP:port',
    description: 'Control addresses of hosts to join by, joined by commas; may be out of date.',
  },
  source: {
    schema: address,
    fallback: null,
    unit: 'IP:port',
    description: 'Where the catalog is published.',
  },
  'first-start': {
    schema: z.enum(['true', 'false']).transform((text) => text === 'true'),
    fallback: 'true',
    unit: '',
    description:
      'Whether all hosts start together before there are callers; a host that starts later reads ' +
      'the catalog itself at once.',
  },
  'stop-grace-s': {
    schema: positive,
    fallback: '30',
    unit: 's',
    description: 'Time from SIGTERM until the process is killed.',
  },
  'retry-ratio': {
    schema: z.coerce.number().min(0).max(1),
    fallback: '0.1',
    unit: '',
    description: 'Repeats to a service for each call to it.',
  },
  'retry-slack': {
    schema: z.coerce.number().min(0),
    fallback: '20',
    unit: 'calls',
    description: 'Repeats to a service beyond that, of all hosts in one window.',
  },
  'retry-window-s': {
    schema: positive,
    fallback: '10',
    unit: 's',
    description: 'Window in which repeats are counted.',
  },
  'settings-check-ms': {
    schema: positive,
    fallback: '1000',
    unit: 'ms',
    description: 'How often the settings file is looked at for changes.',
  },
} as const satisfies SettingTable;

/** Checked settings of limpetknot-balancer. */
export type BalancerSettings = SettingValues<typeof BALANCER_SETTINGS>;
