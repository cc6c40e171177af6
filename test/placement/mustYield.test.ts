import {
  type CallRequirements,
  type Candidate,
  hasSlack,
  mustYield,
  SentWork,
} from '../../src/placement';
import { ManualClock } from '../../src/runtime';

const UPLOAD = {
  ...{ workMs: 83, objectiveMs: 1500, leftMs: 4000, objectiveLeftMs: 1500, isIdempotent: true },
  ...{ mayWait: true, hasCallAhead: false, lastSlotSlowdown: 1, rank: 1 },
} satisfies CallRequirements;

function targetsWithLoads(...loads: readonly number[]): readonly Candidate[] {
  return loads.map((load, index) => ({
    ...{
      target: `t${index}`,
      isSameZone: true,
      isUsed: true,
      slots: 2,
      load,
      pace: 100,
      paceAge: 0,
    },
    ...{ failureShare: 0, isUnhealthy: false, isConnected: true, isCold: false },
    ...{ limitedForMs: 0, isUnconfirmed: false, isUnchecked: false },
  }));
}

// Load pattern: a burst of calls with slack at the targets of calls with a short objective.
describe('a call with slack', () => {
  const nearlyFull = targetsWithLoads(2, 2, 2, 1);

  // Guards against calls that could wait in the last slots that urgent calls need.
  it('leaves the last free slots to the urgent calls that are expected', () => {
    expect(mustYield(nearlyFull, UPLOAD, 0.5)).toBe(true);
    expect(mustYield(targetsWithLoads(1, 0, 0, 1), UPLOAD, 0.5)).toBe(false);
  });

  // Guards against slots that are held back although no urgent call comes.
  it('is served at once when no urgent call needs the capacity', () => {
    expect(mustYield(nearlyFull, UPLOAD, 0)).toBe(false);
  });

  // Guards against free slots of slow targets that would make an urgent call late.
  it('does not count on the slots of slow targets', () => {
    const slow = targetsWithLoads(1, 0, 0, 1).map((target) => ({ ...target, pace: 700 }));
    expect(mustYield(slow, UPLOAD, 0.5)).toBe(true);
  });

  // Guards against a wait that makes the call itself late, and against changes without slack.
  it('competes like any other call from its latest start', () => {
    expect(hasSlack({ ...UPLOAD, objectiveLeftMs: 250 })).toBe(true);
    expect(mustYield(nearlyFull, { ...UPLOAD, objectiveLeftMs: 240 }, 0.5)).toBe(false);
    expect(hasSlack({ ...UPLOAD, rank: 0 })).toBe(false);
    expect(mustYield(nearlyFull, { ...UPLOAD, mayWait: false }, 0.5)).toBe(false);
  });
});

describe('the mix of the work sent', () => {
  // Guards against a mix of the past that holds back slots for calls that no longer come.
  it('counts only more urgent calls, and old ones less', () => {
    const clock = new ManualClock();
    const sent = new SentWork(clock);
    expect(sent.shareAbove(1)).toBe(0);
    sent.record(0, 100);
    sent.record(0.5, 100);
    expect([sent.shareAbove(0), sent.shareAbove(0.5), sent.shareAbove(1)]).toEqual([0, 0.5, 1]);
    clock.advanceTo(5000);
    sent.record(1, 100);
    expect(sent.shareAbove(1)).toBeCloseTo(0.5);
  });
});
