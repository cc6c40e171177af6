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
  const firstSeen = new Map<string, number>();
  for (const { answer, answeredAt, host } of calls) {
    if (!answer?.headers.has('server-leaving')) continue;
    const server = /^answer of (\S+) to/.exec(answer.body)?.[1];
    const key = `${server} ${hosts[host]!.name}`;
    firstSeen.set(key, Math.min(firstSeen.get(key) ?? Infinity, answeredAt!));
  }
  for (const { id, at, host, outcome, server, sentAt } of passedOn) {
    const seenAt = firstSeen.get(`${server} ${host.name}`) ?? Infinity;
    if (outcome === 'other' || sentAt <= seenAt + DRAIN_MS || wasDisrupted(host, seenAt, at))
      continue;
    const after = Math.round(sentAt - seenAt);
    findings.add(
      'DRAIN',
      `${id} reached ${server} from ${host.name}, ${after} ms after its leaving`,
    );
  }
}

function checkRetryAfter(passedOn: readonly PassedOn[], findings: FindingLog): void {
  for (const refused of passedOn.filter(({ outcome }) => outcome === 'refused')) {
    const header = refused.extraHeaders.find((line) => line.startsWith('Retry-After: '));
    if (header === undefined) continue;
    const from = refused.at + RETRY_AFTER_NOTICE_MS;
    const until = refused.at + Number(header.split(' ')[1]) * 1000;
    const early = passedOn.filter(
      ({ at, host, server }) =>
        host === refused.host && server === refused.server && at > from && at < until,
    );
    if (early.length <= MAX_EARLY_CALLS) continue;
    if (wasDisrupted(refused.host, refused.at, early.at(-1)!.at)) continue;
    const names = early.map(({ id }) => id).join(' ');
    findings.add(
      'BUDGET',
      `${names} reached ${refused.server} from ${refused.host.name} within ${header} of ${refused.id}`,
    );
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
