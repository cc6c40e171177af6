import { type KeptCall } from '../../test/support/keptCall';

import { type CallRecords } from './callRecords';
import { type FindingLog } from './findingLog';

// A call that no log names counts as read this long before its connection ends: a busy test process
// notices the end of a connection some 100 ms late.
const UNLOGGED_MS = 1000;
// These promise that the call has not run and never will.
const NOT_RUN_STATUSES = [408, 421, 429, 503];

// A key that was withdrawn earlier than this before a call is not used for it (`revocation-ms`).
export const REVOCATION_MS = 5000;
// A published configuration is in force on each host in contact after this time.
const CONFIGURATION_APPLY_MS = 2500;

type CallCheck = (call: KeptCall, runners: readonly string[], records: CallRecords) => boolean;

function isExcused({ host, sentAt, closedAt }: KeptCall, { hosts }: CallRecords): boolean {
  return hosts[host]!.history.overlaps(['kill', 'freeze', 'held'], sentAt, closedAt ?? Infinity);
}

function wasRead(call: KeptCall, { hosts }: CallRecords): boolean {
  const { closedAt, host, id, sentAt, wasConnected } = call;
  if (hosts[host]!.history.readCalls.has(id)) return true;
  return wasConnected && closedAt! - sentAt > UNLOGGED_MS;
}

function isWhole({ answer, id }: KeptCall, runners: readonly string[]): boolean {
  return (
    answer!.headers.get('request-id') === id &&
    answer!.headers.has('upstream-signature') &&
    runners.some((server) => answer!.body === `answer of ${server} to ${id}`)
  );
}

function isRevoked({ key, sentAt }: KeptCall, { keys }: CallRecords): boolean {
  return key !== null && sentAt > keys.get(key)!.withdrawnAt + REVOCATION_MS;
}

// Hosts learn of new and of withdrawn keys a little later.
function mayReject({ key, answer, answeredAt, sentAt }: KeptCall, { keys }: CallRecords): boolean {
  if (key === null || answer!.status !== 401) return false;
  const { publishedAt, withdrawnAt } = keys.get(key)!;
  return withdrawnAt < answeredAt! || publishedAt > sentAt - CONFIGURATION_APPLY_MS;
}

/** Whether a call breaks a rule, by rule; `runners` are the servers that ran it. */
const CHECKS: Readonly<Record<string, CallCheck>> = {
  'TWICE: ran more than once': ({ isIdempotent }, runners) => !isIdempotent && runners.length > 1,
  'REFUSED: answered as not run, and has run': ({ answer }, runners) =>
    answer !== null && NOT_RUN_STATUSES.includes(answer.status) && runners.length > 0,
  'MIXED: another answer than that of its server': (call, runners) =>
    call.answer !== null && call.answer.status < 300 && !isWhole(call, runners),
  'REVOKED: ran with a key that was withdrawn before': (call, runners, records) =>
    runners.length > 0 && isRevoked(call, records),
  'DENIED: a proper call': (call, _runners, records) =>
    call.answer !== null &&
    call.answer.status >= 300 &&
    call.answer.status < 500 &&
    !NOT_RUN_STATUSES.includes(call.answer.status) &&
    !mayReject(call, records),
  'LOST: ran, and has no answer': (call, runners, records) =>
    call.answer === null && runners.length > 0 && !isExcused(call, records),
  'LOST: was read, and has no answer': (call, runners, records) =>
    call.answer === null &&
    runners.length === 0 &&
    wasRead(call, records) &&
    !call.isBehindAnother &&
    !isExcused(call, records),
};

function describe(call: KeptCall, runners: readonly string[], findings: FindingLog): string {
  const { answer, id, host, sentAt, closedAt } = call;
  const closed = closedAt === null ? 'open' : `closed at ${findings.secondsOf(closedAt)} s`;
  const status = answer === null ? 'no answer' : `${answer.status} ${answer.body}`;
  return `${id} at host-${host}, sent at ${findings.secondsOf(sentAt)} s, ${closed}, ${status}, ran at [${runners.join(' ')}]`;
}

/** Checks each call against the rules for calls and answers, and each arrival against what was sent. */
export function checkCalls(records: CallRecords, findings: FindingLog): void {
  const runners = new Map<string, string[]>(records.calls.map(({ id }) => [id, []]));
  const services = new Map(records.calls.map(({ id, service }) => [id, service]));
  for (const { id, outcome, server, service } of records.arrivals) {
    const ran = runners.get(id);
    if (ran === undefined) findings.add('UNASKED', `${id} reached ${server}`);
    if (ran === undefined || outcome !== 'ran') continue;
    ran.push(server);
    if (services.get(id) !== service) findings.add('ROUTE', `${id} ran at ${server} of ${service}`);
  }
  for (const call of records.calls) {
    const ran = runners.get(call.id)!;
    for (const [rule, isBroken] of Object.entries(CHECKS))
      if (isBroken(call, ran, records)) findings.add(rule, describe(call, ran, findings));
  }
}
