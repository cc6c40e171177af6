import { Err, Ok } from 'ts-results';

import { type Rejection } from '../src';
import { operatorApp, type OperatorContext } from '../src/operators';

import { FakeFleet, fakeContext, smallSheet } from './operatorFakes';

const sheet = smallSheet(1);
const JSON_TYPE = { 'content-type': 'application/json' };

interface RequestOptions {
  readonly from?: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

async function send(context: OperatorContext, path: string, options: RequestOptions = {}) {
  const { from = '127.0.0.1', method = 'GET', headers = {}, body } = options;
  const bindings = { incoming: { socket: { remoteAddress: from } } } as never;
  const answer = await operatorApp(context).request(
    path,
    { method, headers: { host: '127.0.0.1:1', ...headers }, body },
    bindings,
  );
  return { status: answer.status, text: await answer.text(), headers: answer.headers };
}

function setUp(change: Partial<OperatorContext> = {}) {
  const fleet = new FakeFleet('host-1', sheet);
  fleet.submitResult = Ok({ orderId: 'o-1', epoch: 2, unchanged: false });
  return { fleet, context: { ...fakeContext('host-1', fleet), ...change } };
}

// Guards against orders from unauthorized senders, including web pages in an operator's browser
// (DNS rebinding).
test.each([
  ['loopback without a token', '', {}, 200],
  ['IPv6 loopback', '', { from: '::1' }, 200],
  ['mapped loopback', '', { from: '::ffff:127.0.0.1' }, 200],
  ['another address', '', { from: '10.0.0.5' }, 403],
  ['mapped other address', '', { from: '::ffff:10.0.0.5' }, 403],
  ['no address', '', { from: '' }, 403],
  ['a foreign host name', '', { headers: { host: 'rebound.example' } }, 403],
  ['missing token', 'secret', {}, 401],
  ['wrong token', 'secret', { headers: { authorization: 'Bearer secre' } }, 401],
  ['token of another scheme', 'secret', { headers: { authorization: 'Basic secret' } }, 401],
  ['right token', 'secret', { from: '10.0.0.5', headers: { authorization: 'Bearer secret' } }, 200],
])('authorization: %s', async (_name, token, options: RequestOptions, status) => {
  const { context, fleet } = setUp({ token });
  expect((await send(context, '/status', options)).status).toBe(status);
  const order = await send(context, '/orders/zone-out', {
    ...options,
    method: 'POST',
    headers: { ...options.headers, ...JSON_TYPE },
    body: JSON.stringify({ id: 'o-1', zone: 'zone-1' }),
  });
  expect(order.status).toBe(status);
  expect(fleet.submittedOrders).toHaveLength(status === 200 ? 1 : 0);
  if (status !== 200) expect(order.headers.get('content-type')).toBe('application/problem+json');
});

// Guards against a gateway that reports itself ready while it refuses calls.
test('liveness and readiness', async () => {
  const { context, fleet } = setUp();
  const probe = async () => (await send(context, '/readyz', { from: '10.0.0.5' })).status;
  expect((await send(context, '/livez', { from: '10.0.0.5' })).status).toBe(200);
  expect(await probe()).toBe(200);
  fleet.deadline = 0;
  expect(await probe()).toBe(503);
  fleet.deadline = 1;
  fleet.currentView = null;
  expect(await probe()).toBe(503);
  expect(JSON.parse((await send(context, '/status')).text)).toMatchObject({
    ready: false,
    epoch: null,
  });
  expect((await send(context, '/sheet')).status).toBe(503);
  expect((await send({ ...setUp().context, isStopping: () => true }, '/readyz')).status).toBe(503);
});

// Guards against malformed orders reaching the fleet.
test.each([
  ['no JSON', 'zone-out', JSON_TYPE, '{', 400],
  ['no id', 'zone-out', JSON_TYPE, '{"zone":"zone-1"}', 400],
  ['a bad id', 'zone-back', JSON_TYPE, '{"id":"a b","zone":"zone-1"}', 400],
  ['an unknown member', 'zone-out', JSON_TYPE, '{"id":"a","zone":"zone-1","x":1}', 400],
  ['too long', 'zone-out', JSON_TYPE, `{"id":"a","zone":"${'z'.repeat(5000)}"}`, 413],
  ['form content', 'zone-out', { 'content-type': 'text/plain' }, '{}', 415],
  ['sheet without id', 'sheet', { 'content-type': 'text/csv' }, 'x', 400],
  ['huge sheet', 'sheet?id=a', { 'content-type': 'text/csv' }, 'x'.repeat(1048577), 413],
  ['invalid sheet', 'sheet?id=a', { 'content-type': 'text/csv' }, '[sheet]', 422],
  ['unknown order', 'reboot', JSON_TYPE, '{}', 404],
])('refuses malformed requests: %s', async (_name, path, headers, body, status) => {
  const { context, fleet } = setUp();
  const length = { 'content-length': String(body.length) };
  const answer = await send(context, `/orders/${path}`, {
    method: 'POST',
    headers: { ...headers, ...length },
    body,
  });
  expect(answer.status).toBe(status);
  expect(JSON.parse(answer.text)).toMatchObject({ status });
  expect(fleet.submittedOrders).toEqual([]);
});

// Guards against a response that differs from what the fleet decided.
test('responds with the result from the fleet', async () => {
  const { context, fleet } = setUp();
  const submitSheet = () =>
    send(context, '/orders/sheet?id=o-1', {
      method: 'POST',
      headers: { 'content-type': 'text/csv; charset=utf-8' },
      body: sheet.text,
    });
  expect(JSON.parse((await submitSheet()).text)).toEqual({
    orderId: 'o-1',
    epoch: 2,
    unchanged: false,
  });
  expect(fleet.submittedOrders).toMatchObject([
    { kind: 'load-sheet', id: 'o-1', sheet: { fingerprint: sheet.fingerprint } },
  ]);
  const expectedStatuses: [Rejection['kind'], number][] = [
    ['conflict', 409],
    ['last-zone', 409],
    ['invalid', 422],
    ['no-quorum', 503],
    ['not-ready', 503],
    ['outcome-unknown', 504],
  ];
  for (const [kind, status] of expectedStatuses) {
    fleet.submitResult = Err({ kind, detail: 'why' });
    const answer = await submitSheet();
    expect(answer.status).toBe(status);
    expect(JSON.parse(answer.text)).toMatchObject({
      type: `urn:limpetknot:problem:order-${kind}`,
      detail: 'why',
    });
  }
  expect((await send(context, '/sheet')).text).toBe(sheet.text);
});
