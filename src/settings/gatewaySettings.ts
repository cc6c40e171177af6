import * as z from 'zod';

import { type SettingTable, type SettingValues } from './settingDefinition';

const port = z.coerce.number().int().min(0).max(65_535);
const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: 'must be an IP address' });
const url = z.url({ protocol: /^http$/, error: 'must be an http:// address' });
const hostAndPort = /^(\d+\.\d+\.\d+\.\d+|\[[0-9a-f:]+\]):\d+$/;
const milliseconds = z.coerce.number().int().min(0).max(3_600_000);

/** Settings of limpetknot-gateway. */
export const GATEWAY_SETTINGS = {
  'host-id': {
    schema: z
      .string()
      .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and dashes'),
    fallback: null,
    unit: '',
    description: 'Id of this host, as in the hosts section of the sheet.',
  },
  zone: {
    schema: z
      .string()
      .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and dashes'),
    fallback: null,
    unit: '',
    description: 'Availability zone of this host.',
  },
  address: {
    schema: ipAddress,
    fallback: '127.0.0.1',
    unit: 'IP address',
    description: 'Address to listen on.',
  },
  'caller-port': { schema: port, fallback: '8080', unit: 'port', description: 'Port for callers.' },
  'relay-port': {
    schema: port,
    fallback: '8081',
    unit: 'port',
    description: 'Port for calls relayed by other hosts.',
  },
  'peer-port': {
    schema: port,
    fallback: '8082',
    unit: 'port',
    description: 'Port for control messages between hosts (gRPC).',
  },
  'operator-port': {
    schema: port,
    fallback: '8083',
    unit: 'port',
    description: 'Port for operators, /livez and /readyz.',
  },
  'configuration-url': {
    schema: url,
    fallback: null,
    unit: 'URL',
    description: 'Base address of the configuration service.',
  },
  'host-list-url': {
    schema: url,
    fallback: null,
    unit: 'URL',
    description: 'Base address of the list of live and leaving hosts.',
  },
  peers: {
    schema: z
      .string()
      .transform((text) => text.split(',').filter((peer) => peer !== ''))
      .pipe(z.array(z.string().regex(hostAndPort, 'must be ADDRESS:PORT, separated by commas'))),
    fallback: '',
    unit: 'ADDRESS:PORT,...',
    description:
      'Peer ports to fetch the current sheet from when the configuration service is down at start.',
  },
  'peer-secret': {
    schema: z.string().min(16, 'must have 16 characters or more'),
    fallback: null,
    unit: '',
    description: 'Secret shared by all hosts, for control messages and relayed calls.',
  },
  'operator-token': {
    schema: z.string(),
    fallback: '',
    unit: '',
    description:
      'Bearer token for operators; without one, only loopback addresses may give orders.',
  },
  'notice-period': {
    schema: milliseconds,
    fallback: '5000',
    unit: 'milliseconds',
    description:
      'Time for which a stopping host still accepts calls, until the load balancer has noticed.',
  },
  'stop-limit': {
    schema: milliseconds,
    fallback: '150000',
    unit: 'milliseconds',
    description: 'Longest duration of a graceful shutdown, including the notice period.',
  },
  'statsd-address': {
    schema: z.union([z.literal(''), z.string().regex(hostAndPort, 'must be ADDRESS:PORT')]),
    fallback: '',
    unit: 'ADDRESS:PORT',
    description: 'Address to which StatsD metrics are sent; none when empty.',
  },
  'decision-log': {
    schema: z.string(),
    fallback: '-',
    unit: 'file path',
    description:
      'File to which the decision log is written; - is standard output, empty disables it.',
  },
  'log-level': {
    schema: z.enum(['debug', 'info', 'warn', 'error']),
    fallback: 'info',
    unit: '',
    description: 'Minimum level of logged events.',
  },
  policy: {
    schema: z.enum(['owner', 'local-least-loaded', 'naive']),
    fallback: 'owner',
    unit: '',
    description:
      'Routing policy; all except owner are for comparison and enforce no fleet-wide limits.',
  },
  'random-seed': {
    schema: z.coerce.number().int().min(0),
    fallback: '0',
    unit: '',
    description: 'Seed of the random number generator; 0 picks a new one at each start.',
  },
} as const satisfies SettingTable;

/** Validated settings of limpetknot-gateway. */
export type GatewaySettings = SettingValues<typeof GATEWAY_SETTINGS>;
