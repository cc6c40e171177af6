import { isIPv4 } from 'node:net';

import * as z from 'zod';

import { type SettingTable, type SettingValues } from './settingDefinition';

const identifier = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/, 'must be a name');
const MAX_PORT = 65_535;
const address = z
  .string()
  .regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'must be an IP address and a port')
  .refine((text) => isIPv4(text.split(':')[0]!), 'must have an IP address with numbers up to 255')
  .refine((text) => Number(text.split(':')[1]) <= MAX_PORT, 'must have a port up to 65535');
const commaSeparatedList = z
  .string()
  .transform((text) => text.split(',').filter((part) => part !== ''));
/** A positive number; any other text, such as that of a template without a value, means `fallback`. */
const optionalNumber = (fallback: number) =>
  z.string().transform((text) => (Number(text) > 0 ? Number(text) : fallback));
const positiveNumber = z.coerce.number().positive();

/** Settings of limpetknot-balancer, the daemon for hosts that have no sheet. */
export const BALANCER_SETTINGS = {
  'host-id': { schema: identifier, fallback: null, unit: '', description: 'Id of this host.' },
  zone: {
    schema: identifier,
    fallback: null,
    unit: '',
    description: 'Availability zone of this host.',
  },
  zones: {
    schema: commaSeparatedList.pipe(z.array(identifier).min(1)),
    fallback: null,
    unit: '',
    description: 'All availability zones of the region, separated by commas.',
  },
  'caller-address': {
    schema: address,
    fallback: null,
    unit: 'IP:port',
    description: 'Address on which callers are accepted.',
  },
  'readiness-address': {
    schema: address,
    fallback: null,
    unit: 'IP:port',
    description: 'Address of the readiness endpoint.',
  },
  'control-address': {
    schema: address,
    fallback: null,
    unit: 'IP:port',
    description:
      'Address on which other hosts read the catalog, and operators read status and metrics.',
  },
  'exchange-port': {
    schema: z
      .string()
      .transform((text) => Number(text.split(',')[0]))
      .pipe(z.number().int().min(1).max(MAX_PORT)),
    fallback: null,
    unit: 'port',
    description:
      'UDP port for messages between hosts, the same on all; of a comma-separated list, the first.',
  },
  'readiness-path': {
    schema: z.string().startsWith('/'),
    fallback: '/readyz',
    unit: '',
    description: 'Path of the readiness endpoint.',
  },
  'metrics-port': {
    schema: z.coerce.number().int().min(0).max(MAX_PORT),
    fallback: '0',
    unit: 'port',
    description: 'Port that serves metrics in addition to the control address; 0 for none.',
  },
  seeds: {
    schema: commaSeparatedList.pipe(z.array(address)),
    fallback: '',
    unit: 'IP:port',
    description:
      'Control addresses of hosts through which to join, separated by commas; may be out of date.',
  },
  source: {
    schema: address,
    fallback: null,
    unit: 'IP:port',
    description: 'Address at which the catalog is published.',
  },
  'first-start': {
    schema: z.enum(['true', 'false']).transform((text) => text === 'true'),
    fallback: 'true',
    unit: '',
    description:
      'Whether all hosts start together before there are callers; a host that starts later reads ' +
      'the catalog from the source immediately.',
  },
  'stop-grace-s': {
    schema: positiveNumber,
    fallback: '30',
    unit: 's',
    description: 'Time from SIGTERM until the process is killed.',
  },
  'retry-ratio': {
    schema: z.coerce.number().min(0).max(1),
    fallback: '0.1',
    unit: '',
    description: 'Retries to a service for each call to it.',
  },
  'retry-slack': {
    schema: z.coerce.number().min(0),
    fallback: '20',
    unit: 'calls',
    description: 'Retries to a service beyond retry-ratio, of all hosts together in one window.',
  },
  'retry-window-s': {
    schema: positiveNumber,
    fallback: '10',
    unit: 's',
    description: 'Window in which retries are counted.',
  },
  'strict-revocation': {
    schema: z.string().transform((text) => text === 'true'),
    fallback: '',
    unit: '',
    description:
      'Whether a withdrawn key may not be used later than revocation-ms after its withdrawal, on ' +
      'any host. Any text other than true means no.',
  },
  'revocation-ms': {
    schema: optionalNumber(5000),
    fallback: '',
    unit: 'ms',
    description: 'Time after which a withdrawn key is no longer used. 5000 if empty.',
  },
  'configuration-apply-ms': {
    schema: optionalNumber(2500),
    fallback: '',
    unit: 'ms',
    description: 'Time by which a published configuration is in force. 2500 if empty.',
  },
  'removal-apply-ms': {
    schema: optionalNumber(2000),
    fallback: '',
    unit: 'ms',
    description: 'Time after which a removed target gets no more calls. 2000 if empty.',
  },
  'target-renewal-ms': {
    schema: optionalNumber(1500),
    fallback: '',
    unit: 'ms',
    description:
      'Interval at which targets renew their entries in the source; entries expire after three ' +
      'without a renewal. 1500 if empty.',
  },
  'quota-window-s': {
    schema: optionalNumber(5),
    fallback: '',
    unit: 's',
    description: 'Window in which the calls of a tenant are counted. 5 if empty.',
  },
  'quota-overage': {
    schema: optionalNumber(0.25),
    fallback: '',
    unit: '',
    description: 'Share by which a tenant may exceed its limit in a window. 0.25 if empty.',
  },
  'quota-slack': {
    schema: optionalNumber(20),
    fallback: '',
    unit: 'calls',
    description: 'Calls of a tenant in a window beyond its limit and the overage. 20 if empty.',
  },
  'memory-limit-mb': {
    schema: optionalNumber(350),
    fallback: '',
    unit: 'MB',
    description:
      'Memory that the process may use; calls hold at most a quarter of it. 350 if empty.',
  },
  'descriptor-limit': {
    schema: optionalNumber(4096),
    fallback: '',
    unit: 'descriptors',
    description:
      'File descriptors that the process may open: 40% for callers, 50% for targets. 4096 if empty.',
  },
  'settings-check-ms': {
    schema: positiveNumber,
    fallback: '1000',
    unit: 'ms',
    description: 'Interval at which the settings file is checked for changes.',
  },
} as const satisfies SettingTable;

/** Validated settings of limpetknot-balancer. */
export type BalancerSettings = SettingValues<typeof BALANCER_SETTINGS>;
