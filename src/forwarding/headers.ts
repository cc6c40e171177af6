import { type IncomingHttpHeaders } from 'node:http';

/** Time left for a call, in milliseconds; clocks of hosts differ, so no time of day is sent. */
export const TIMEOUT_HEADER = 'limpetknot-timeout-ms';
/** Id of the call, the same at every host and target that it passes. */
export const CALL_ID_HEADER = 'limpetknot-call-id';
/** Service of a relayed call. */
export const SERVICE_HEADER = 'limpetknot-service';
/** Priority class of a relayed call. */
export const CLASS_HEADER = 'limpetknot-class';
/** "yes" or "no": whether a relayed call is idempotent. */
export const IDEMPOTENT_HEADER = 'limpetknot-idempotent';
/** Host that relays a call; its presence means that the call is not relayed again. */
export const ENTRY_HEADER = 'limpetknot-entry';
/** Target that ran or refused a relayed call; on answers between hosts. */
export const TARGET_HEADER = 'limpetknot-target';
/** Targets that already failed a relayed call, separated by commas. */
export const AVOID_HEADER = 'limpetknot-avoid';
/** Fingerprint of a relayed call that is suspected of crashing targets. */
export const SUSPECT_HEADER = 'limpetknot-suspect';
/** Secret shared by the hosts; it proves that a relayed call comes from one of them. */
export const PEER_SECRET_HEADER = 'limpetknot-peer-secret';
/** Median answer time of the service as the entry knows it, in milliseconds, on relayed calls. */
export const MEDIAN_HEADER = 'limpetknot-service-median-ms';
/** Load of the owner, on answers to relayed calls: limit, in flight, queued, median. */
export const OWNER_STATE_HEADER = 'limpetknot-owner-state';
/** "not-run" or "outcome-unknown" on answers that tell of such an outcome. */
export const OUTCOME_HEADER = 'limpetknot-outcome';
/** W3C header that carries the depth of a chain of calls. */
export const BAGGAGE_HEADER = 'baggage';
/** Identity of a target's process; it differs after each start. */
export const TARGET_INSTANCE_HEADER = 'limpetknot-target-instance';
/** "draining" on answers of a target that is leaving. */
export const TARGET_STATE_HEADER = 'limpetknot-target-state';
/** ORCA load report of a target. */
export const LOAD_HEADER = 'endpoint-load-metrics';

/** Headers by lower-case name. */
export type HeaderMap = Record<string, string | string[]>;

// RFC 9110, section 7.6.1, with the older names that are still in use.
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const INTERNAL_PREFIX = 'limpetknot-';

function namedByConnection(headers: IncomingHttpHeaders): readonly string[] {
  const { connection } = headers;
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return [];
  return connection.split(',').map((name) => name.trim().toLowerCase());
}

/** Headers that go on to the next hop: without hop-by-hop and limpetknot's own ones. */
export function endToEndHeaders(headers: IncomingHttpHeaders): HeaderMap {
  const dropped = namedByConnection(headers);
  const kept: HeaderMap = {};
  for (const name of Object.keys(headers)) {
    if (HOP_BY_HOP.has(name) || name.startsWith(INTERNAL_PREFIX) || dropped.includes(name))
      continue;
    const value = headers[name];
    if (value !== undefined) kept[name] = value;
  }
  return kept;
}
