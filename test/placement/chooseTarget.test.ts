import { type CallNeeds, type Candidate, chooseTarget, expectedTime } from '../../src/placement';
import { SeededRandom } from '../../src/runtime';

function candidate(over: Partial<Candidate> = {}): Candidate {
  return {
    target: 't',
    isNear: true,
    slots: 6,
    load: 0,
    pace: 100,
    paceAge: 10,
    failureShare: 0,
    isIll: false,
    isConnected: true,
    isCold: false,
    isUnconfirmed: false,
    ...over,
  };
}

const NEEDS: CallNeeds = {
  workMs: 100,
  objectiveMs: 250,
  leftMs: 1000,
  objectiveLeftMs: 250,
  isIdempotent: true,
  rank: 0,
  mayWait: false,
  isBehind: false,
  fullSlowdown: 1.5,
};

function chosen(
  candidates: readonly Candidate[],
  needs = NEEDS,
  random = new SeededRandom(1),
): string {
  const placement = chooseTarget(candidates, needs, random);
  return placement.kind === 'send' ? placement.target : `${placement.kind} ${placement.reason}`;
}

describe('choice of a target', () => {
  // Load pattern: a third of the targets are seven times slower for half a second at a time.
  it('avoids a target whose pace is slow at this moment', () => {
    const slow = candidate({ target: 'slow', pace: 700 });
    const busy = candidate({ target: 'busy', load: 4 });
    expect(chosen([slow, busy])).toBe('busy');
  });

  // Load pattern: all targets of the zone are slow while another zone has quick ones.
  it('leaves the zone when that saves more than the distance costs', () => {
    const near = candidate({ target: 'near', pace: 700 });
    const far = candidate({ target: 'far', isNear: false });
    expect(chosen([near, far])).toBe('far');
    expect(chosen([candidate({ target: 'near', load: 4 }), far])).toBe('near');
  });

  // Load pattern: some targets slow down when their last slot is taken.
  it('keeps the last slot of a target free while others have room', () => {
    const nearlyFull = candidate({ target: 'full', load: 2, slots: 3 });
    const free = candidate({ target: 'free', load: 0, slots: 3 });
    expect(chosen([nearlyFull, free])).toBe('free');
  });

  // Load pattern: a target fails half of its calls quickly while its probe is good.
  it('avoids a target that fails although it looks quick and empty', () => {
    const grey = candidate({ target: 'grey', failureShare: 0.4 });
    const busy = candidate({ target: 'busy', load: 5 });
    expect(chosen([grey, busy])).toBe('busy');
  });

  // Load pattern: probes lie; a target that is called ill but answers is used when it must be.
  it('prefers others to a target whose probe is ill, but excludes it not', () => {
    const ill = candidate({ target: 'ill', isIll: true });
    expect(chosen([ill, candidate({ target: 'well', load: 3 })])).toBe('well');
    expect(chosen([ill])).toBe('ill');
  });

  // Load pattern: all targets of a zone return cold together.
  it('waits when all targets are cold or may have started again', () => {
    expect(chosen([candidate({ isCold: true })])).toBe('wait allCold');
    expect(chosen([candidate({ isUnconfirmed: true })])).toBe('wait noTarget');
    expect(chosen([candidate({ isCold: true }), candidate({ target: 'warm', load: 9 })])).toBe(
      'warm',
    );
  });

  // Load pattern: a burst above the capacity; what cannot be answered in time is refused at once,
  // the less urgent first.
  it('refuses at once what no target can answer in the time left', () => {
    const slow = candidate({ pace: 700 });
    const time = expectedTime(slow, NEEDS);
    expect(chosen([slow], { ...NEEDS, leftMs: time / 2 })).toBe('refuse overloaded');
    expect(chosen([slow], { ...NEEDS, leftMs: time * 0.9 })).toBe('t');
    expect(chosen([slow], { ...NEEDS, leftMs: time * 0.9, rank: 1 })).toBe('refuse overloaded');
  });

  // Load pattern: bursts of 1.4 times that overlap; calls that queue for longer than their objective
  // make all calls behind them late, at every target.
  it('refuses a call that would queue for much longer than its objective', () => {
    expect(chosen([candidate({ load: 9 })])).toBe('t');
    expect(chosen([candidate({ load: 30 })])).toBe('refuse overloaded');
  });

  // Load pattern: every target is slow for some hundred milliseconds; one that recovers within the
  // time that a call may wait answers it earlier than any that is slow now.
  it('waits for a better moment while there is time', () => {
    const slow = candidate({ pace: 700 });
    expect(chosen([slow], { ...NEEDS, mayWait: true })).toBe('wait overloaded');
    expect(chosen([slow])).toBe('t');
  });

  // Load pattern: all targets have only their last slot free, which slows down the calls beside it.
  it('waits for a slot that slows nothing down while its answer would be in time', () => {
    const full = candidate({ slots: 3, load: 2 });
    const waiting = { ...NEEDS, mayWait: true };
    expect(chosen([full], waiting)).toBe('wait overloaded');
    expect(chosen([full], { ...waiting, objectiveLeftMs: 160 })).toBe('t');
    // Where full targets are as quick as others, the last slot is as good as any.
    expect(chosen([full], { ...waiting, fullSlowdown: 1 })).toBe('t');
  });

  // Load pattern: a burst above the capacity; calls that are late already would make others late.
  it('lets late calls wait behind those in time, then refuses them', () => {
    const busy = candidate({ slots: 3, load: 2 });
    const late = { ...NEEDS, mayWait: true, objectiveLeftMs: 20 };
    expect(chosen([busy], late)).toBe('wait overloaded');
    expect(chosen([candidate()], { ...late, isBehind: true })).toBe('wait overloaded');
    expect(chosen([candidate()], late)).toBe('t');
    expect(chosen([busy], { ...late, objectiveLeftMs: -200 })).toBe('refuse overloaded');
  });

  // Load pattern: many hosts decide within the same few milliseconds.
  it('does not let all hosts take the same one of several equal targets', () => {
    const equal = ['a', 'b', 'c', 'd'].map((target) => candidate({ target }));
    const counts = new Map<string, number>();
    const random = new SeededRandom(5);
    for (let turn = 0; turn < 400; turn += 1) {
      const target = chosen(equal, NEEDS, random);
      counts.set(target, (counts.get(target) ?? 0) + 1);
    }
    for (const target of ['a', 'b', 'c', 'd']) expect(counts.get(target)).toBeGreaterThan(50);
  });

  // Guards against trust in old knowledge: a target that was quick some seconds ago is unknown now.
  it('trusts old knowledge less than fresh', () => {
    const old = candidate({ target: 'old', paceAge: 20_000 });
    const fresh = candidate({ target: 'fresh', load: 2 });
    expect(chosen([old, fresh])).toBe('fresh');
  });
});
