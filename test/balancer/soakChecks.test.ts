import {
  type CallRecords,
  checkCalls,
  checkWishes,
  FindingLog,
  HostHistory,
} from '../../soak/balancers';
import { type KeptCall } from '../support/keptCall';

type Call = Partial<KeptCall>;
type Arrival = Partial<CallRecords['arrivals'][number]>;

function answered(status: number, body: string, headers: Record<string, string> = {}): Call {
  const all = { 'request-id': 'c', 'upstream-signature': 's', ...headers };
  return { answer: { status, headers: new Map(Object.entries(all)), body }, answeredAt: 100 };
}

const OWN_REFUSAL = answered(503, 'not run');
const WHOLE = answered(200, 'answer of i to c');
const LEAVES = answered(200, 'answer of i to c', { 'server-leaving': '1' });
const RAN: Arrival = { outcome: 'ran' };
const TURNED_AWAY: Arrival = { outcome: 'refused', extraHeaders: ['Retry-After: 2'] };

function find(calls: readonly Call[], arrivals: readonly Arrival[], isKilled = false): string[] {
  const history = new HostHistory();
  history.readCalls.add('logged');
  if (isKilled) history.begin('kill');
  const findings = new FindingLog();
  const records: CallRecords = {
    hosts: [{ name: 'host-0', history }],
    keys: new Map([
      ['old', { publishedAt: -Infinity, withdrawnAt: 50 }],
      ['new', { publishedAt: 50, withdrawnAt: Infinity }],
      ['lasting', { publishedAt: -Infinity, withdrawnAt: Infinity }],
    ]),
    calls: calls.map((call) => ({
      ...{
        id: 'c',
        host: 0,
        service: 'book',
        isIdempotent: false,
        key: null,
        sentAt: 0,
        answer: null,
      },
      ...{ isBehindAnother: false, wasConnected: true, answeredAt: null, closedAt: 1e9 },
      ...call,
    })),
    arrivals: arrivals.map((arrival) => ({
      ...{ id: 'c', at: 10, outcome: 'ran', server: 'i', service: 'book', extraHeaders: [] },
      ...arrival,
    })),
  };
  checkCalls(records, findings);
  checkWishes(records, findings);
  return findings.findings.map(({ rule }) => rule.split(':')[0]!);
}

describe('the checks of a soak run', () => {
  // Guards against a soak that passes because a check does not see a broken rule.
  it.each<[string, string[], readonly Call[], readonly Arrival[]]>([
    ['a whole answer', [], [WHOLE], [RAN]],
    ['a refusal', [], [OWN_REFUSAL], []],
    ['a second run', ['TWICE'], [WHOLE], [RAN, RAN]],
    ['a second run of a repeatable call', [], [{ ...WHOLE, isIdempotent: true }], [RAN, RAN]],
    ['a refusal of a call that ran', ['REFUSED'], [OWN_REFUSAL], [RAN]],
    ['a success that no server gave', ['MIXED'], [WHOLE], []],
    ['a success that is cut off', ['MIXED'], [answered(200, 'answer of i to')], [RAN]],
    ['an answer to another call', ['MIXED'], [answered(200, 'answer of i to d')], [RAN]],
    ['404 for a route that exists', ['DENIED'], [answered(404, 'no route')], []],
    [
      'a run with a key withdrawn long before',
      ['REVOKED'],
      [{ ...WHOLE, key: 'old', sentAt: 5051 }],
      [RAN],
    ],
    ['a run with a key withdrawn just before', [], [{ ...WHOLE, key: 'old', sentAt: 5049 }], [RAN]],
    ['401 for a withdrawn key', [], [{ ...answered(401, ''), key: 'old' }], []],
    ['401 for a key published just before', [], [{ ...answered(401, ''), key: 'new' }], []],
    [
      '401 for a key published long before',
      ['DENIED'],
      [{ ...answered(401, ''), key: 'lasting' }],
      [],
    ],
    ['a call that ran without an answer', ['LOST'], [{}], [RAN]],
    ['a call that was read without an answer', ['LOST'], [{}], []],
    ['a call that a log names', ['LOST'], [{ id: 'logged', closedAt: 50 }], []],
    ['a call that crossed a close', [], [{ closedAt: 150 }], []],
    ['a call behind another on its connection', [], [{ isBehindAnother: true }], []],
    ['a call that nobody sent', ['UNASKED'], [], [RAN]],
    ['a run by another service', ['ROUTE'], [WHOLE], [{ ...RAN, service: 'read' }]],
    [
      'a call to a server that left',
      ['DRAIN'],
      [LEAVES, { ...answered(503, 'full'), id: 'd', sentAt: 2101 }],
      [RAN, { id: 'd', at: 2200, outcome: 'refused' }],
    ],
    [
      'three calls to a server that asked for none',
      ['BUDGET'],
      [{ ...OWN_REFUSAL, id: 'c' }],
      [TURNED_AWAY, ...[600, 700, 1900].map((at): Arrival => ({ outcome: 'refused', at }))],
    ],
    [
      'two calls to a server that asked for none',
      [],
      [OWN_REFUSAL],
      [TURNED_AWAY, ...[400, 600, 700, 2100].map((at): Arrival => ({ outcome: 'refused', at }))],
    ],
  ])('find what breaks a rule: %s', (_, rules, calls, arrivals) => {
    expect(find(calls, arrivals)).toEqual(rules);
  });

  // Guards against findings that the kill of a host explains.
  it('excuse a lost call at a host that was killed', () => {
    expect(find([{}], [RAN], true)).toEqual([]);
  });
});
