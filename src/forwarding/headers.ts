import { type IncomingHttpHeaders } from 'node:http';

/** Remaining time of a call in milliseconds; relative, since the clocks of hosts differ. */
export const TIMEOUT_HEADER = 'limpetknot-timeout-ms';
/** Id of the call, the same on every host and target that handles it. */
export const CALL_ID_HEADER = 'limpetknot-call-id';
/** Service of a relayed call. */
export const SERVICE_HEADER = 'limpetknot-service';
/** Priority class of a relayed call. */
export const CLASS_HEADER = 'limpetknot-class';
/** "yes" or "no": whether a relayed call is idempotent. */
export const IDEMPOTENT_HEADER = 'limpetknot-idempotent';
/** Host that relays a call; a call with this header is not relayed again. */
export const ENTRY_HEADER = 'limpetknot-entry';
/** Target that ran or refused a relayed call, on responses between hosts. */
export const TARGET_HEADER = 'limpetknot-target';
/** Comma-separated targets on which a relayed call has already failed. */
export const AVOID_HEADER = 'limpetknot-avoid';
/** Fingerprint of a relayed call that is suspected of crashing targets. */
export const SUSPECT_HEADER = 'limpetknot-suspect';
/** Secret shared by the hosts, which authenticates relayed calls. */
export const PEER_SECRET_HEADER = 'limpetknot-peer-secret';
/** Median response time of the service at the entry host in milliseconds, on relayed calls. */
export const MEDIAN_HEADER = 'limpetknot-service-median-ms';
/** Load of the owner on responses to relayed calls: limit, in flight, queued, median in ms. */
export const OWNER_STATE_HEADER = 'limpetknot-owner-state';
/** "not-run" or "outcome-unknown" on responses that report such an outcome. */
export const OUTCOME_HEADER = 'limpetknot-outcome';
/** W3C header that carries the depth of the call chain. */
export const BAGGAGE_HEADER = 'baggage';
/** Identity of a target's process; it changes with each restart. */
export const TARGET_INSTANCE_HEADER = 'limpetknot-target-instance';
/** "draining" on responses of a target that is shutting down. */
export const TARGET_STATE_HEADER = 'limpetknot-target-state';
/** ORCA load report of a target. */
export const LOAD_HEADER = 'endpoint-load-metrics';

/** Headers by lower-case name. */
export type HeaderMap = Record<string, string | string[]>;

// RFC 9110, section 7.6.1, and legacy headers that are still in use.
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

function connectionHeaderNames(headers: IncomingHttpHeaders): readonly string[] {
  const { connection } = headers;
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return [];
  return connection.split(',').map((name) => name.trim().toLowerCase());
}

/** Headers to forward: without hop-by-hop and internal `limpetknot-` headers. */
export function endToEndHeaders(headers: IncomingHttpHeaders): HeaderMap {
  const dropped = connectionHeaderNames(headers);
  const forwarded: HeaderMap = {};
  for (const name of Object.keys(headers)) {
    if (HOP_BY_HOP.has(name) || name.startsWith(INTERNAL_PREFIX) || dropped.includes(name))
      continue;
    const value = headers[name];
    if (value !== undefined) forwarded[name] = value;
  }
  return forwarded;
}
