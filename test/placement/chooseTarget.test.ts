import {
  type CallRequirements,
  type Candidate,
  chooseTarget,
  expectedTime,
} from '../../src/placement';
import { SeededRandom } from '../../src/runtime';

function candidate(over: Partial<Candidate> = {}): Candidate {
  return {
    target: 't',
    isSameZone: true,
    isUsed: true,
    slots: 6,
    load: 0,
    pace: 100,
    paceAge: 10,
    failureShare: 0,
    isUnhealthy: false,
    isConnected: true,
    isCold: false,
    isUnconfirmed: false,
    isUnchecked: false,
    limitedForMs: 0,
    ...over,
  };
}

const REQUIREMENTS: CallRequirements = {
  workMs: 100,
  objectiveMs: 250,
  leftMs: 1000,
  objectiveLeftMs: 250,
  isIdempotent: true,
  rank: 0,
  mayWait: false,
  hasCallAhead: false,
  lastSlotSlowdown: 1.5,
};

function choose(
  candidates: readonly Candidate[],
  requirements = REQUIREMENTS,
  random = new SeededRandom(1),
): string {
  const placement = chooseTarget(candidates, requirements, random);
  return placement.kind === 'send' ? placement.target : `${placement.kind} ${placement.reason}`;
}

describe('choice of a target', () => {
  // Guards against calls to targets of which nothing is known, of which one in four is slow, while a used
  // one can answer in time beside another call.
  it('prefers a used target with another call to an idle one without recent reports', () => {
    const used = candidate({ target: 'used', slots: 2, load: 1 });
    const unused = { target: 'unused', slots: 2, isUsed: false, isConnected: false };
    expect(choose([used, candidate({ ...unused, paceAge: Infinity })])).toBe('used');
    expect(choose([used, candidate({ ...unused, paceAge: 10 })])).toBe('unused');
    expect(choose([candidate({ ...unused, paceAge: Infinity })])).toBe('unused');
  });

  // Guards against a bound that holds for two priorities only: with three, the rank of the middle one
  // had none, and its calls were sent although no answer could be in time.
  it.each([
    [0, 'send', 'refuse'],
    [0.5, 'refuse', 'refuse'],
    [1, 'refuse', 'refuse'],
  ])('refuses a call of rank %d whose answer would come too late', (rank, at80, at50) => {
    const target = candidate({ pace: 100 });
    const kindWith = (leftMs: number) =>
      chooseTarget([target], { ...REQUIREMENTS, rank, leftMs }, new SeededRandom(1)).kind;
    expect([kindWith(200), kindWith(78), kindWith(50)]).toEqual(['send', at80, at50]);
  });

  // Load pattern: a third of the targets are seven times slower for half a second at a time.
  it('avoids a target that is slow at the moment', () => {
    const slow = candidate({ target: 'slow', pace: 700 });
    const busy = candidate({ target: 'busy', load: 4 });
    expect(choose([slow, busy])).toBe('busy');
  });

  // Load pattern: all targets of the zone are slow while another zone has fast ones.
  it('sends across zones when that saves more time than the distance costs', () => {
    const near = candidate({ target: 'near', pace: 700 });
    const far = candidate({ target: 'far', isSameZone: false });
    expect(choose([near, far])).toBe('far');
    expect(choose([candidate({ target: 'near', load: 4 }), far])).toBe('near');
  });

  // Load pattern: some targets slow down when their last slot is taken.
  it('keeps the last slot of a target free while other targets have free slots', () => {
    const nearlyFull = candidate({ target: 'full', load: 2, slots: 3 });
    const free = candidate({ target: 'free', load: 0, slots: 3 });
    expect(choose([nearlyFull, free])).toBe('free');
  });

  // Load pattern: a target quickly fails half of its calls while its health checks succeed.
  it('avoids a failing target that looks fast and empty', () => {
    const grey = candidate({ target: 'grey', failureShare: 0.4 });
    const busy = candidate({ target: 'busy', load: 5 });
    expect(choose([grey, busy])).toBe('busy');
  });

  // Load pattern: health checks are wrong; an unhealthy target that answers is the last resort.
  it('prefers healthy targets but does not exclude unhealthy ones', () => {
    const ill = candidate({ target: 'ill', isUnhealthy: true });
    expect(choose([ill, candidate({ target: 'well', load: 3 })])).toBe('well');
    expect(choose([ill])).toBe('ill');
  });

  // Load pattern: all targets of a zone restart together and are cold.
  it('waits when all targets are cold or may have restarted', () => {
    expect(choose([candidate({ isCold: true })])).toBe('wait allCold');
    expect(choose([candidate({ isUnconfirmed: true })])).toBe('wait noTarget');
    const isNew = { isUnconfirmed: true, isUnchecked: true };
    expect(choose([candidate(isNew)])).toBe('wait unchecked');
    expect(choose([candidate(isNew), candidate({ target: 'old' })])).toBe('old');
    expect(choose([candidate({ isCold: true }), candidate({ target: 'warm', load: 9 })])).toBe(
      'warm',
    );
  });

  // Load pattern: a burst above the capacity; calls that cannot be answered in time are refused at
  // once, the less urgent ones first.
  it('refuses a call at once when no target can answer in the time left', () => {
    const slow = candidate({ pace: 700 });
    const time = expectedTime(slow, REQUIREMENTS);
    expect(choose([slow], { ...REQUIREMENTS, leftMs: time / 2 })).toBe('refuse overloaded');
    expect(choose([slow], { ...REQUIREMENTS, leftMs: time * 0.9 })).toBe('t');
    expect(choose([slow], { ...REQUIREMENTS, leftMs: time * 0.9, rank: 1 })).toBe(
      'refuse overloaded',
    );
  });

  // Guards against a rank between 0 and 1, which three priorities or more give, to which no bound applies.
  it('refuses calls of a rank in between by a bound in between', () => {
    const slow = candidate({ pace: 700 });
    const time = expectedTime(slow, REQUIREMENTS);
    const chooseAt = (leftShare: number) =>
      choose([slow], { ...REQUIREMENTS, leftMs: time * leftShare, rank: 0.5 });
    expect([0.1, 0.75, 0.85].map(chooseAt)).toEqual([
      'refuse overloaded',
      'refuse overloaded',
      't',
    ]);
  });

  // Load pattern: overlapping bursts of 1.4 times the usual load; calls that queue for longer than
  // their objective make all calls behind them late, at every target.
  it('refuses a call that would queue for much longer than its objective', () => {
    expect(choose([candidate({ load: 9 })])).toBe('t');
    expect(choose([candidate({ load: 30 })])).toBe('refuse overloaded');
  });

  // Load pattern: every target is slow for a few hundred milliseconds; a target that recovers while
  // the call may still wait answers it earlier than one that is slow now.
  it('waits for a target to recover while there is time', () => {
    const slow = candidate({ pace: 700 });
    expect(choose([slow], { ...REQUIREMENTS, mayWait: true })).toBe('wait overloaded');
    expect(choose([slow])).toBe('t');
  });

  // Load pattern: only the last slot of each target is free, and using it slows the other calls.
  it('waits for a slot that slows down no other call while the answer would be in time', () => {
    const full = candidate({ slots: 3, load: 2 });
    const waiting = { ...REQUIREMENTS, mayWait: true };
    expect(choose([full], waiting)).toBe('wait overloaded');
    expect(choose([full], { ...waiting, objectiveLeftMs: 160 })).toBe('t');
    // If full targets are as fast as others, the last slot is as good as any.
    expect(choose([full], { ...waiting, lastSlotSlowdown: 1 })).toBe('t');
  });

  // Load pattern: a burst above the capacity; calls that are already late would make others late.
  it('queues late calls behind those in time, then refuses them', () => {
    const busy = candidate({ slots: 3, load: 2 });
    const late = { ...REQUIREMENTS, mayWait: true, objectiveLeftMs: 20 };
    expect(choose([busy], late)).toBe('wait overloaded');
    expect(choose([candidate()], { ...late, hasCallAhead: true })).toBe('wait overloaded');
    expect(choose([candidate()], late)).toBe('t');
    expect(choose([busy], { ...late, objectiveLeftMs: -200 })).toBe('refuse overloaded');
  });

  // Load pattern: many hosts decide within the same few milliseconds.
  it('spreads hosts over several equal targets', () => {
    const equal = ['a', 'b', 'c', 'd'].map((target) => candidate({ target }));
    const counts = new Map<string, number>();
    const random = new SeededRandom(5);
    for (let turn = 0; turn < 400; turn += 1) {
      const target = choose(equal, REQUIREMENTS, random);
      counts.set(target, (counts.get(target) ?? 0) + 1);
    }
    for (const target of ['a', 'b', 'c', 'd']) expect(counts.get(target)).toBeGreaterThan(50);
  });

  // Guards against the use of stale state: the pace of some seconds ago says little about now.
  it('gives a stale pace less weight than a recent one', () => {
    const old = candidate({ target: 'old', paceAge: 20_000 });
    const fresh = candidate({ target: 'fresh', load: 2 });
    expect(choose([old, fresh])).toBe('fresh');
  });
});
