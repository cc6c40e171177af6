import * as z from 'zod';

import { type SettingTable, type SettingValues } from './settingDefinition';

const hostAndPort = /^(\d+\.\d+\.\d+\.\d+|\[[0-9a-f:]+\]):\d+$/;
const booleanText = z.enum(['true', 'false']).transform((value) => value === 'true');

/** Settings of limpetknotctl. */
export const CONTROL_SETTINGS = {
  gateways: {
    schema: z
      .string()
      .transform((text) => text.split(',').filter((gateway) => gateway !== ''))
      .pipe(
        z
          .array(z.string().regex(hostAndPort, 'must be ADDRESS:PORT, separated by commas'))
          .min(1, 'must name a gateway'),
      ),
    fallback: '127.0.0.1:8083',
    unit: 'ADDRESS:PORT,...',
    description: 'Operator ports of gateways, tried in this order.',
  },
  'operator-token': {
    schema: z.string(),
    fallback: '',
    unit: '',
    description: 'Bearer token of the gateways; none when empty.',
  },
  'time-limit': {
    schema: z.coerce.number().int().min(100).max(600_000),
    fallback: '10000',
    unit: 'milliseconds',
    description: 'Longest time to wait for the answer of one gateway.',
  },
  'order-id': {
    schema: z.union([
      z.literal(''),
      z.string().regex(/^[A-Za-z0-9-]{1,64}$/, 'must be letters, digits and dashes, 1 to 64 long'),
    ]),
    fallback: '',
    unit: '',
    description:
      'Id of the order; a repeated order uses the id of the first attempt. Generated when empty.',
  },
  force: {
    schema: booleanText,
    fallback: 'false',
    unit: '',
    isSwitch: true,
    description: 'Takes a zone out of service even when it is the last one.',
  },
  json: {
    schema: booleanText,
    fallback: 'false',
    unit: '',
    isSwitch: true,
    description: 'Prints answers as JSON.',
  },
} as const satisfies SettingTable;

/** Validated settings of limpetknotctl. */
export type ControlSettings = SettingValues<typeof CONTROL_SETTINGS>;
