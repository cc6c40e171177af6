import { ManualClock } from '../src/runtime';
import { OutcomeRecorder } from '../src/outcomes';
import { type Sheet } from '../src/sheet';
import { AnswerTimes } from '../src/forwarding/answerTimes';
import { readDepth, writeBaggage } from '../src/forwarding/depth';
import { ForwardingMetrics } from '../src/forwarding/forwardingMetrics';
import { LoadShedder } from '../src/forwarding/loadShedder';
import { RetryBudget } from '../src/forwarding/retryBudget';

// Guards against a depth that is lost or forged as it passes through targets.
test('the depth is carried in baggage among other members', () => {
  expect(readDepth(undefined)).toBe(0);
  expect(readDepth('a=1')).toBe(0);
  expect(readDepth('a=1, limpetknot-depth=3;p=1 ,b=2')).toBe(3);
  expect(readDepth('limpetknot-depth=x')).toBe(99);
  expect(readDepth('limpetknot-depth=1,limpetknot-depth=4')).toBe(4);
  expect(readDepth('limpetknot-depth-of=5')).toBe(0);
  expect(writeBaggage(undefined, 0)).toBe('limpetknot-depth=1');
  expect(writeBaggage('a=1,limpetknot-depth=3', 3)).toBe('a=1,limpetknot-depth=4');
});

// Guards against exceeding the retry budget, and against a budget that never recovers.
test('retries and hedges stay within a percentage of the calls of the last 10 s', () => {
  const clock = new ManualClock();
  const budget = new RetryBudget(clock);
  for (let call = 0; call < 100; call += 1) budget.countCall();
  expect(Array.from({ length: 20 }, () => budget.tryAcquire(10)).filter(Boolean)).toHaveLength(10);
  clock.advanceBy(5000);
  expect(budget.tryAcquire(10)).toBe(false);
  for (let call = 0; call < 10; call += 1) budget.countCall();
  expect(budget.tryAcquire(10)).toBe(true);
  clock.advanceBy(5000);
  expect(budget.tryAcquire(10)).toBe(false);
  clock.advanceBy(60_000);
  expect(budget.tryAcquire(10)).toBe(false);
  for (let call = 0; call < 100; call += 1) budget.countCall();
  expect(budget.tryAcquire(10, 10)).toBe(true);
  expect(budget.tryAcquire(10)).toBe(false);
});

// Guards against a hedge delay based on too few or outdated answers.
test('the hedge delay is the 95th percentile of the latest answers', () => {
  const times = new AnswerTimes();
  for (let answer = 0; answer < 19; answer += 1) times.add(1000);
  expect(times.hedgeDelayMs()).toBeNull();
  for (let answer = 1; answer <= 512; answer += 1) times.add(answer % 100);
  expect(times.hedgeDelayMs()).toBeGreaterThanOrEqual(92);
  expect(times.hedgeDelayMs()).toBeLessThanOrEqual(97);
});

// Guards against counting an outcome twice, and against an undetected second send.
test('the recorder counts outcomes once and reports violations', () => {
  const violations: string[] = [];
  const recorder = new OutcomeRecorder((violation) => violations.push(violation));
  const call = recorder.begin(false);
  expect(call.beginSend()).toBe(true);
  call.recordNotRun();
  expect(call.beginSend()).toBe(true);
  expect(call.beginSend()).toBe(false);
  call.end('whole-answer');
  call.end('not-run');
  expect(recorder.outcomes['whole-answer']).toBe(1);
  expect(recorder.outcomes['not-run']).toBe(0);
  expect(recorder.openCallCount()).toBe(0);
  expect(violations).toEqual(['second-send', 'second-outcome']);
});

function sheetWithRanks(): Sheet {
  const priorities = new Map(
    ['flood', 'standard', 'bulk'].map((name, rank) => [
      name,
      { class: name, rank, rain_rank: rank, reserved_percent: 0 },
    ]),
  );
  return { rain: false, priorities } as unknown as Sheet;
}

// Guards against an overloaded gateway that sheds calls of the highest class.
test('event-loop lag sheds the lowest classes first and never the top one', () => {
  const loadShedder = new LoadShedder(new ManualClock(), 8);
  const sheet = sheetWithRanks();
  const admitted = () =>
    ['flood', 'standard', 'bulk', 'unlisted'].filter((name) => {
      const refusal = loadShedder.admit(sheet, name);
      if (refusal === null) loadShedder.release();
      return refusal === null;
    });
  expect(admitted()).toEqual(['flood', 'standard', 'bulk', 'unlisted']);
  for (let sample = 0; sample < 40; sample += 1) loadShedder.sample(25);
  expect(admitted()).toEqual(['flood', 'standard']);
  for (let sample = 0; sample < 40; sample += 1) loadShedder.sample(500);
  expect(admitted()).toEqual(['flood']);
  for (let sample = 0; sample < 40; sample += 1) loadShedder.sample(0);
  expect(admitted()).toHaveLength(4);
  for (let call = 0; call < 6; call += 1) loadShedder.admit(sheet, 'bulk');
  expect(admitted()).toEqual(['flood']);
  loadShedder.admit(sheet, 'flood');
  loadShedder.admit(sheet, 'flood');
  expect(admitted()).toEqual([]);
});

// Guards against sending a metric for each call, and against sending a count twice.
test('metrics are sent as sums at each flush', () => {
  const recorder = new OutcomeRecorder();
  const sums = new Map<string, number>();
  const sink = {
    increment: (metric: { name: string }, by = 1, tags: Readonly<Record<string, string>> = {}) => {
      const key = [metric.name, ...Object.values(tags)].join(' ');
      sums.set(key, (sums.get(key) ?? 0) + by);
    },
    gauge: () => {},
    timing: () => {},
  };
  const metrics = new ForwardingMetrics(recorder, new LoadShedder(new ManualClock()), sink);
  for (let call = 0; call < 5; call += 1) {
    recorder.begin(true).end('whole-answer');
    metrics.countPlacement(call % 2 === 0);
  }
  metrics.countExtraAttempt('hedge');
  metrics.flush();
  metrics.flush();
  expect(Object.fromEntries(sums)).toEqual({
    'calls.outcomes whole-answer': 5,
    'calls.placements own': 3,
    'calls.placements relay': 2,
    'calls.repeats hedge': 1,
  });
});
