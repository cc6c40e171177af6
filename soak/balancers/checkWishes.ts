import { type KeptCall } from '../../test/support/keptCall';

import { type CallRecords, type CheckedHost, type ServerArrival } from './callRecords';
import { type FindingLog } from './findingLog';

const DRAIN_MS = 2000;
// A host heeds a Retry-After from this time after it.
const RETRY_AFTER_NOTICE_MS = 500;
const MAX_EARLY_CALLS = 2;

/** An arrival with the host that passed the call on, and the time at which its caller sent it. */
interface PassedOn extends ServerArrival {
  readonly host: CheckedHost;
  readonly sentAt: number;
}

function wasDisrupted({ history }: CheckedHost, from: number, to: number): boolean {
  return history.overlaps(['kill', 'freeze', 'stop'], from, to);
}

function checkLeaving(
  { calls, hosts }: CallRecords,
  passedOn: readonly PassedOn[],
  findings: FindingLog,
): void {
  const firstSeen = new Map<string, KeptCall>();
  for (const call of calls) {
    const { answer, answeredAt, host } = call;
    if (!answer?.headers.has('server-leaving')) continue;
    const server = /^answer of (\S+) to/.exec(answer.body)?.[1];
    const key = `${server} ${hosts[host]!.name}`;
    if (answeredAt! < (firstSeen.get(key)?.answeredAt ?? Infinity)) firstSeen.set(key, call);
  }
  for (const { id, at, host, outcome, server, sentAt } of passedOn) {
    const seen = firstSeen.get(`${server} ${host.name}`);
    if (seen === undefined || outcome === 'other' || sentAt <= seen.answeredAt! + DRAIN_MS)
      continue;
    if (wasDisrupted(host, seen.sentAt, at)) continue;
    const after = Math.round(sentAt - seen.answeredAt!);
    findings.add(
      'DRAIN',
      `${id} reached ${server} from ${host.name}, ${after} ms after its leaving`,
    );
  }
}

function checkRetryAfter(passedOn: readonly PassedOn[], findings: FindingLog): void {
  const reported = new Set<string>();
  for (const refused of passedOn.filter(({ outcome }) => outcome === 'refused')) {
    const { at: refusedAt, host, server } = refused;
    const header = refused.extraHeaders.find((line) => line.startsWith('Retry-After: '));
    const pair = `${server} from ${host.name}`;
    if (header === undefined || reported.has(pair)) continue;
    const from = refusedAt + RETRY_AFTER_NOTICE_MS;
    const until = refusedAt + Number(header.split(' ')[1]) * 1000;
    const early = passedOn.filter(
      (other) =>
        other.host === host && other.server === server && other.at > from && other.at < until,
    );
    if (early.length <= MAX_EARLY_CALLS) continue;
    // A process that has ended since did not get the answer, or has forgotten it.
    if (wasDisrupted(host, refused.sentAt, early.at(-1)!.at)) continue;
    reported.add(pair);
    const times = early.map(({ id, at, outcome, sentAt }) => {
      const sent = Math.round(sentAt - refusedAt);
      return `${id} sent ${sent} ms, ${outcome} ${Math.round(at - refusedAt)} ms`;
    });
    const refusal = `${header} of ${refused.id} at ${findings.secondsOf(refusedAt)} s`;
    findings.add('BUDGET', `calls reached ${pair} after ${refusal}: ${times.join(', ')} after it`);
  }
}

/** Checks that hosts heed servers that say that they leave or ask for no calls for some time. */
export function checkWishes(records: CallRecords, findings: FindingLog): void {
  const callsById = new Map(records.calls.map((call) => [call.id, call]));
  const passedOn = records.arrivals.flatMap((arrival): PassedOn[] => {
    const call = callsById.get(arrival.id);
    if (call === undefined) return [];
    return [{ ...arrival, host: records.hosts[call.host]!, sentAt: call.sentAt }];
  });
  checkLeaving(records, passedOn, findings);
  checkRetryAfter(passedOn, findings);
}
