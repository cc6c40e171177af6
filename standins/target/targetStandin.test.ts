import { request } from 'undici';

import { TargetStandin } from './targetStandin';

// Measurements detect lost and duplicated calls by these records; a fault here would hide them.
describe('TargetStandin', () => {
  let target: TargetStandin;
  let base: string;

  beforeEach(async () => {
    target = new TargetStandin('t-1');
    base = `http://127.0.0.1:${await target.start()}`;
  });

  afterEach(() => target.stop());

  test('a call cancelled before its effect is recorded as cancelled, without an effect', async () => {
    target.configure({ serviceTimeMs: 200 });
    const abort = new AbortController();
    const call = request(`${base}/a`, { signal: abort.signal });
    setTimeout(() => abort.abort(), 50);
    await expect(call).rejects.toThrow();
    await new Promise((resolve) => {
      setTimeout(resolve, 250);
    });
    expect(target.runs.map(({ state }) => state)).toEqual(['cancelled']);
    expect(target.log.effects().size).toBe(0);
    expect(target.inFlight).toBe(0);
  });

  test('a call past its time limit stops without an effect', async () => {
    target.configure({ serviceTimeMs: 200 });
    const answer = await request(`${base}/a`, { headers: { 'limpetknot-timeout-ms': '30' } });
    await answer.body.dump();
    expect(answer.statusCode).toBe(504);
    expect(target.runs[0]?.state).toBe('deadline');
  });

  test('a shed call is refused as not run and is not recorded', async () => {
    target.configure({ slots: 1, beyondSlots: 'shed', serviceTimeMs: 100 });
    const first = request(`${base}/a`);
    await new Promise((resolve) => {
      setTimeout(resolve, 30);
    });
    const second = await request(`${base}/b`);
    expect(second.statusCode).toBe(503);
    expect(second.headers['limpetknot-outcome']).toBe('not-run');
    expect((await first).statusCode).toBe(200);
    expect([...target.log.effects()]).toEqual([['/a', 1]]);
  });

  test('a crash ends the calls in flight, and the target restarts cold with another identity', async () => {
    target.configure({ serviceTimeMs: 300, returnAfterMs: 50, coldMs: 5000 });
    const { instance } = target;
    const calls = [request(`${base}/a`), request(`${base}/crash`)];
    const outcomes = await Promise.allSettled(calls);
    expect(outcomes.map(({ status }) => status)).toEqual(['rejected', 'rejected']);
    expect(target.runs.map(({ state }) => state)).toEqual(['crashed', 'crashed']);
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    target.configure({ serviceTimeMs: 20 });
    const answer = await request(`${base}/c`);
    expect(answer.headers['limpetknot-target-instance']).not.toBe(instance);
    target.configure({ serviceTimeMs: 20, coldBreakdown: 'reset' });
    const pairOutcomes = await Promise.allSettled([request(`${base}/d`), request(`${base}/e`)]);
    expect(pairOutcomes.filter(({ status }) => status === 'rejected')).toHaveLength(1);
    expect(target.log.coldOverruns).toBe(1);
  });

  test('a truncated answer took effect, and its connection ends early', async () => {
    const answer = await request(`${base}/truncate`);
    await expect(answer.body.text()).rejects.toThrow();
    expect(target.log.effects().get('/truncate')).toBe(1);
  });

  test('readiness lags by the configured time', async () => {
    target.configure({ reportLagMs: 10_000 });
    target.configure({ draining: true });
    const ready = await request(`${base}/readyz`);
    expect(ready.statusCode).toBe(200);
    expect(ready.headers['limpetknot-target-state']).toBe('draining');
  });
});
