import { FRESHNESS_EVENTS } from '../../src/freshness';

import { HostUnderTest } from './hostUnderTest';

// Keys may be used this long after the moment of a proof.
const USABLE_MS = 4800;
// Within this time a host without a proof has asked for one.
const TICK_MS = 50;

/** A host with a configuration of revision 5 and a proof of it from now. */
function provenHost(): HostUnderTest {
  const host = new HostUnderTest();
  host.publish(5);
  host.clock.advanceBy(TICK_MS);
  host.respond(5, 0);
  return host;
}

// Each test guards against one way in which a call with a withdrawn key could run too late.
describe('keys', () => {
  it('are not used for longer because an old answer of the store was on its way', async () => {
    const host = new HostUnderTest();
    host.isReading = true;
    host.publish(5);
    host.clock.advanceBy(3000);
    await host.answerStore(5, 0);
    expect(host.freshness.proofAgeMs()).toBeGreaterThanOrEqual(3000 - TICK_MS);
    host.clock.advanceBy(USABLE_MS - 3000 + TICK_MS);
    expect(host.mayUseKeys()).toBe(false);
  });

  it('are not used because of an answer with an older state than the known one', async () => {
    const host = new HostUnderTest();
    host.isReading = true;
    host.publish(5);
    host.clock.advanceBy(TICK_MS);
    await host.answerStore(4);
    expect(host.mayUseKeys()).toBe(false);
  });

  it('are not used because of a watch that has not answered', () => {
    const host = new HostUnderTest();
    host.publish(5);
    const onAnswer = host.freshness.beginRequest();
    host.clock.advanceBy(2500);
    expect(host.mayUseKeys()).toBe(false);
    onAnswer({ after: 5, asOf: 5, records: [] });
    expect(host.freshness.proofAgeMs()).toBe(2500);
  });

  it('are not used for longer because a datagram waited at a frozen host', () => {
    const host = provenHost();
    const askedAt = host.clock.now();
    host.clock.advanceBy(700 + TICK_MS);
    const token = host.tokens.at(-1)!;
    // The responder counts the age from the moment at which it reads the request.
    host.clock.advanceBy(2000);
    host.respond(5, 100, token);
    expect(host.freshness.proofAgeMs()).toBeGreaterThanOrEqual(2100);
    // The response itself waits for longer.
    host.clock.advanceTo(askedAt + 6000);
    host.respond(5, 0, token);
    expect(host.mayUseKeys()).toBe(false);
  });

  it('are not used because of a response that was not asked for', () => {
    const host = new HostUnderTest();
    host.publish(5);
    host.clock.advanceBy(TICK_MS);
    host.respond(5, 0, host.tokens.at(-1)! + 1);
    expect(host.mayUseKeys()).toBe(false);
  });

  it('are not used after a suspension during which the monotonic clock stood still', () => {
    for (const clock of ['timeOfDayStepMs', 'sinceBootStepMs'] as const) {
      const host = provenHost();
      host[clock] += USABLE_MS;
      expect(host.mayUseKeys()).toBe(false);
    }
  });

  it('are not used by a responder or requester that was suspended between question and answer', () => {
    const host = provenHost();
    host.sinceBootStepMs += 6000;
    expect(host.freshness.answerRequest(1)!.ageMs).toBeGreaterThanOrEqual(6000);
    host.respond(5, 0);
    expect(host.mayUseKeys()).toBe(false);
  });

  it('are used until the deadline and not longer by a host that is cut off from all', async () => {
    const host = provenHost();
    host.clock.advanceBy(USABLE_MS - TICK_MS - 1);
    expect(host.mayUseKeys()).toBe(true);
    host.clock.advanceBy(TICK_MS + 1);
    expect(host.mayUseKeys()).toBe(false);
    host.clock.advanceBy(20_000);
    expect(host.storeCalls.length).toBe(1);
    await host.answerStore(null);
    expect(host.mayUseKeys()).toBe(false);
    const expired = host.events.filter(({ number }) => number === FRESHNESS_EVENTS.expired.number);
    expect(expired.length).toBe(1);
    host.respond(5, 0);
    host.clock.advanceBy(TICK_MS);
    expect(host.events.at(-1)).toBe(FRESHNESS_EVENTS.regained);
  });

  it('are used with proofs of neighbours by a host that is cut off from the store only', async () => {
    const host = provenHost();
    host.isReading = true;
    for (let second = 0; second < 20; second += 1) {
      host.clock.advanceBy(1000);
      if (host.tokens.length > 0) host.respond(5, 900);
      expect(host.mayUseKeys()).toBe(true);
      await host.answerStore(null);
    }
  });

  it('are not used by a host that has just started and has asked for a proof at once', () => {
    const host = new HostUnderTest();
    host.publish(5);
    expect(host.tokens.length).toBe(1);
    expect(host.mayUseKeys()).toBe(false);
    expect(host.freshness.retryAfterMs()).toBeGreaterThan(0);
  });

  it('are not used with the proof of a responder whose own proof is old', () => {
    const host = new HostUnderTest();
    host.publish(5);
    host.respond(5, USABLE_MS);
    expect(host.mayUseKeys()).toBe(false);
    host.respond(5, USABLE_MS - 100);
    expect(host.mayUseKeys()).toBe(true);
    host.clock.advanceBy(100);
    expect(host.mayUseKeys()).toBe(false);
  });

  // A host with a proof that gives way to an older one would refuse calls without need.
  it('are used until the deadline of the latest proof, whichever arrives last', () => {
    const host = provenHost();
    const ageMs = host.freshness.proofAgeMs();
    host.respond(5, 2000);
    expect(host.freshness.proofAgeMs()).toBe(ageMs);
  });

  it('are not used with the proof of a configuration that arrives after it', () => {
    const host = provenHost();
    host.clock.advanceBy(1000);
    host.respond(7, 0);
    expect(host.freshness.proofAgeMs()).toBeGreaterThanOrEqual(1000);
    host.publish(6);
    expect(host.freshness.proofAgeMs()).toBeGreaterThanOrEqual(1000);
    host.respond(6, 500);
    expect(host.freshness.proofAgeMs()).toBeGreaterThanOrEqual(500);
    host.publish(7);
    expect(host.freshness.proofAgeMs()).toBeLessThan(500);
  });

  it('are used again after one request when the time of day steps, and never for longer', () => {
    const host = provenHost();
    host.timeOfDayStepMs -= 60_000;
    expect(host.mayUseKeys()).toBe(true);
    host.clock.advanceBy(USABLE_MS);
    expect(host.mayUseKeys()).toBe(false);
    host.respond(5, 0);
    expect(host.mayUseKeys()).toBe(true);
    host.timeOfDayStepMs += 60_000;
    expect(host.mayUseKeys()).toBe(false);
    const asked = host.tokens.length;
    host.clock.advanceBy(200);
    host.freshness.requestProof();
    expect(host.tokens.length).toBeGreaterThan(asked);
    host.respond(5, 0);
    expect(host.mayUseKeys()).toBe(true);
  });
});

describe('a host', () => {
  // Guards against cost and events where callers need no keys.
  it('asks nobody without a configuration', () => {
    const host = new HostUnderTest();
    host.isReading = true;
    host.clock.advanceBy(20_000);
    host.freshness.requestProof();
    expect([host.tokens.length, host.storeCalls.length, host.events.length]).toEqual([0, 0, 0]);
    expect([host.mayUseKeys(), host.freshness.state()]).toEqual([true, null]);
  });

  // Guards against an old configuration in use since nobody knows that it is old, and against calls that are
  // refused for want of a proof that they do not need.
  it('knows the age of its proof while the configuration has no tenants', () => {
    const host = new HostUnderTest();
    host.publish(5, null);
    host.respond(5, 300);
    expect(host.freshness.proofAgeMs()).toBe(300);
    host.clock.advanceBy(USABLE_MS);
    expect([host.mayUseKeys(), host.freshness.state()!.mayUseKeys]).toEqual([true, true]);
  });

  // Guards against refused calls where revocation is not strict, and against a proof whose age is not
  // known there.
  it('uses keys without strict revocation, and knows the age of its proof', () => {
    const host = new HostUnderTest({ isStrict: false });
    host.publish(5);
    expect(host.mayUseKeys()).toBe(true);
    host.respond(5, 300);
    expect(host.freshness.proofAgeMs()).toBe(300);
  });

  // Guards against proofs of a zone that end with its reader, and against calls to the store of hosts
  // that need none.
  it('confirms at the store when it would read next and the reader does not answer', () => {
    const host = provenHost();
    host.clock.advanceBy(1100);
    expect(host.storeCalls.length).toBe(0);
    host.clock.advanceBy(200);
    expect(host.storeCalls.length).toBe(1);
  });

  // Guards against proofs that end with the store's answers to the reader, which still answers other hosts.
  it('confirms at the store when it would read next and the reader has no newer proof', () => {
    const host = provenHost();
    for (let elapsedMs = 0; elapsedMs < 1300; elapsedMs += TICK_MS) {
      host.clock.advanceBy(TICK_MS);
      host.respond(5, elapsedMs);
    }
    expect(host.storeCalls.length).toBe(1);
  });

  // Guards against a flood of unknown keys that becomes a flood of requests.
  it('sends at most ten requests a second, however often a proof is needed', () => {
    const host = new HostUnderTest();
    host.isReading = true;
    host.publish(5);
    for (let call = 0; call < 1000; call += 1) {
      host.clock.advanceBy(1);
      host.freshness.requestProof();
    }
    expect(host.tokens.length).toBeLessThanOrEqual(12);
    expect(host.storeCalls.length).toBe(1);
  });
});
