import * as z from 'zod';

// Upper limits that reject mistyped numbers; all are far above the intended scale.
const MAX_SLOTS = 10_000;
const MAX_CONNECTIONS = 100_000;
const MAX_TIME_LIMIT_MS = 120_000;
const MAX_BODY_LIMIT_KB = 1_048_576;
const MAX_PORT = 65_535;

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    'must be lower-case letters, digits and dashes, 1 to 63 long',
  );
const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: 'must be an IP address' });
// Number('') is 0 and Number('0x10') is 16, so the text is validated before it is converted.
const digits = z.string().regex(/^(0|[1-9]\d*)$/, 'must be a whole number');
const decimal = z.string().regex(/^(0|[1-9]\d*)(\.\d+)?$/, 'must be a number');
const yesOrNo = z
  .enum(['yes', 'no'], { error: 'must be yes or no' })
  .transform((value) => value === 'yes');
const rangeError = (smallest: number, largest: number) => ({
  error: `must be from ${smallest} to ${largest}`,
});
const decimalBetween = (smallest: number, largest: number) => {
  const range = rangeError(smallest, largest);
  return decimal.pipe(z.coerce.number<string>().min(smallest, range).max(largest, range));
};
const integerBetween = (smallest: number, largest: number) => {
  const range = rangeError(smallest, largest);
  return digits.pipe(z.coerce.number<string>().int(range).min(smallest, range).max(largest, range));
};
const port = integerBetween(1, MAX_PORT);

/** Row schemas of all sections; the single source of types, validation and docs/sheet.md. */
export const SECTION_SCHEMAS = {
  sheet: z.strictObject({
    version: integerBetween(1, Number.MAX_SAFE_INTEGER).describe(
      'Increases with each sheet; a lower version is never applied.',
    ),
    date: z.iso
      .date({ error: 'must be a date as YYYY-MM-DD' })
      .describe('Day for which the sheet was exported, YYYY-MM-DD.'),
    rain: yesOrNo.describe(
      'yes when rain is forecast: priorities use rain_rank, and reserved slots are kept free.',
    ),
  }),
  zones: z.strictObject({
    zone: name.describe('Name of the availability zone.'),
    region: name.describe('Region that the zone belongs to.'),
  }),
  hosts: z.strictObject({
    host: name.describe('Id of the host; the same as the --host-id setting of its gateway.'),
    zone: name.describe('Availability zone of the host.'),
    address: ipAddress.describe('IP address of the host.'),
    caller_port: port.describe('Port for callers.'),
    relay_port: port.describe('Port for calls relayed by other hosts.'),
    peer_port: port.describe('Port for control messages between hosts (gRPC).'),
    operator_port: port.describe('Port for operators.'),
  }),
  services: z.strictObject({
    service: name.describe('Name of the service; the first path segment of its calls.'),
    class: name.describe('Priority class of calls that match no operation.'),
    time_limit_ms: integerBetween(1, MAX_TIME_LIMIT_MS).describe(
      'Longest time for a call, in milliseconds.',
    ),
    body_limit_kb: integerBetween(0, MAX_BODY_LIMIT_KB).describe(
      'Largest request body, in KB of 1024 bytes.',
    ),
    retry_percent: decimalBetween(0, 100).describe(
      'Retries and hedges, as a percentage of the calls of the last 10 s.',
    ),
    probes_per_second: decimalBetween(0, 100).describe(
      'Maximum rate of health checks of each target by the whole fleet, per second.',
    ),
  }),
  targets: z.strictObject({
    target: name.describe('Id of the target.'),
    service: name.describe('Service that the target provides.'),
    zone: name.describe('Availability zone of the target.'),
    address: ipAddress.describe('IP address of the target.'),
    port: port.describe('Port of the target.'),
    slots: integerBetween(1, MAX_SLOTS).describe(
      'Concurrent calls that the target can run when warm.',
    ),
    connections: integerBetween(1, MAX_CONNECTIONS).describe(
      'Connections that the target accepts.',
    ),
    cold_limit: integerBetween(1, MAX_SLOTS).describe(
      'Calls in flight that a cold target can handle, over the whole fleet.',
    ),
    cold_ms: integerBetween(0, MAX_TIME_LIMIT_MS * 10).describe(
      'Shortest time for which the target stays cold after a start, in milliseconds.',
    ),
  }),
  operations: z.strictObject({
    service: name.describe('Service of the operation.'),
    method: z
      .enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', '*'], {
        error: 'must be an HTTP method in capitals, or *',
      })
      .describe('HTTP method, or * for all.'),
    path_prefix: z
      .string()
      .regex(/^\/\S*$/, 'must start with /')
      .describe('Prefix of the path after the service segment; the longest match applies.'),
    class: name.describe('Priority class of the operation.'),
    idempotent: yesOrNo.describe('yes when repeating the call has no further effect.'),
  }),
  priorities: z.strictObject({
    class: name.describe('Name of the priority class.'),
    rank: integerBetween(0, 100).describe('Order in a queue on a dry day; 0 is served first.'),
    rain_rank: integerBetween(0, 100).describe(
      'Order in a queue when rain is forecast; 0 is served first.',
    ),
    reserved_percent: decimalBetween(0, 90).describe(
      'Share of the slots kept for this class when rain is forecast, in percent.',
    ),
  }),
} as const;

/** Name of a section of a sheet. */
export type SectionName = keyof typeof SECTION_SCHEMAS;

/** Section names in canonical order. */
export const SECTION_NAMES = Object.keys(SECTION_SCHEMAS) as readonly SectionName[];

/** Type of a row of the given section, inferred from its schema. */
export type SectionRow<Name extends SectionName> = Readonly<
  z.output<(typeof SECTION_SCHEMAS)[Name]>
>;

/** An availability zone. */
export type Zone = SectionRow<'zones'>;
/** A host. */
export type Host = SectionRow<'hosts'>;
/** A service. */
export type Service = SectionRow<'services'>;
/** A target. */
export type Target = SectionRow<'targets'>;
/** An operation of a service. */
export type Operation = SectionRow<'operations'>;
/** A priority class. */
export type Priority = SectionRow<'priorities'>;
