import { BalancerProcess, MAIN } from '../support/balancerProcess';
import { CallerFlood } from '../support/callerFlood';
import { HoldUps } from '../support/holdUps';
import { RawCaller } from '../support/rawCaller';
import { TestPlatform } from '../support/testPlatform';

const ROUTE = { prefix: '/read/', service: 'reads', isIdempotent: true, timeLimitMs: 3000 };
const DESCRIPTOR_LIMIT = 400;
const CALLERS = 2 * DESCRIPTOR_LIMIT;
const TARGET_LOST_EVENT = 2309;
const CALLER_DEADLINE_MS = 2000;
// A server that is held up for most of the 250 ms that a health check may take is not sound.
const HEALTH_CHECK_MS = 300;
const MIN_HOLD_UP_MS = 200;
const MAX_RUNS = 6;
const TEST_TIMEOUT_MS = 180_000;

function request(id: string): string {
  return `GET /read/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 3000\r\n\r\n`;
}

/** Sends a call again while its connection is closed, as a caller does until its deadline. */
async function statusWithinDeadline(platform: TestPlatform): Promise<number> {
  const deadline = performance.now() + CALLER_DEADLINE_MS;
  for (;;) {
    const status = await platform.call('GET', '/read/x').then(
      (reply) => reply.status,
      () => null,
    );
    if (status !== null) return status;
    if (performance.now() > deadline) throw new Error('no call was served in time');
    await platform.sleep(20);
  }
}

/**
 * Runs a flood of callers; resolves to the time for which the servers were held up before the first
 * target was called lost, in milliseconds, or to null if none was.
 */
async function runFlood(stated: number, portion: number): Promise<number | null> {
  const platform = new TestPlatform();
  const balancer = new BalancerProcess(platform);
  const holdUps = new HoldUps();
  platform.configure([ROUTE]);
  await platform.addServer('reads', { id: 'i-1', workMs: 300, slots: 400 });
  await platform.addServer('reads', { id: 'i-2', workMs: 300, slots: 400 });
  let kept: RawCaller | null = null;
  let flood: CallerFlood | null = null;
  try {
    await balancer.prepare();
    balancer.settings['descriptor-limit'] = String(stated);
    balancer.writeSettings();
    void balancer.launch([MAIN], DESCRIPTOR_LIMIT);
    await balancer.untilReady();
    await platform.sleep(300);
    const caller = new RawCaller(platform.callerPort);
    kept = caller;
    caller.write(request('kept-0'));
    await platform.until(() => caller.statuses().length === 1);
    flood = new CallerFlood(platform.callerPort, CALLERS, portion);
    await flood.opened;
    await platform.sleep(100);
    caller.write(request('kept-1'));
    await platform.until(() => caller.statuses().length === 2);
    const isKnown = stated === DESCRIPTOR_LIMIT;
    if (isKnown) expect(await platform.readiness()).toBe(200);
    await platform.sleep(1500);
    if (isKnown) expect(await platform.readiness()).toBe(200);
    const lost = balancer.logged(TARGET_LOST_EVENT)[0];
    const lostAt = lost === undefined ? null : Date.parse(String(lost.time));
    if (isKnown && lostAt === null) expect(caller.statuses()).toEqual(['200', '200']);
    await flood.leave();
    caller.leave();
    expect(await statusWithinDeadline(platform)).toBe(200);
    return lostAt === null ? null : holdUps.between(lostAt - HEALTH_CHECK_MS, lostAt);
  } finally {
    kept?.leave();
    await flood?.leave();
    balancer.close();
    holdUps.close();
    await platform.stop();
  }
}

describe('a process at its limit of descriptors', () => {
  // Guards against sound targets that are called lost, callers that take the descriptors of targets,
  // calls on kept connections that are refused, a readiness question whose connection is reset, and a
  // host that does not recover. Calls that do not all arrive at once are hedged.
  it.each([
    ['that knows the limit', DESCRIPTOR_LIMIT, CALLERS],
    ['that knows the limit and sends hedges', DESCRIPTOR_LIMIT, 5],
    ['that assumes a higher one', 4096, CALLERS],
  ])(
    '%s serves kept connections and calls no target lost',
    async (_, stated, portion) => {
      // A run in which a target was lost since its process was held up is done again.
      for (let run = 1; ; run += 1) {
        const heldUpMs = await runFlood(stated, portion);
        if (heldUpMs === null) return;
        expect(heldUpMs).toBeGreaterThan(MIN_HOLD_UP_MS);
        expect(run).toBeLessThan(MAX_RUNS);
      }
    },
    TEST_TIMEOUT_MS,
  );
});
