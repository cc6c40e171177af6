import { Err, Ok, type Result } from 'ts-results';
import { match } from 'ts-pattern';

import { notRun, outcomeUnknown, type NotRun, type OutcomeUnknown } from '../outcomes';
import { type AttemptResult, type Slot } from '../routing';
import { type Clock } from '../runtime';

import { type AnswerIdentity } from './answerIdentity';
import { type AttemptObserver } from './attemptObserver';
import { type Call } from './call';
import { type ConnectionPools } from './connectionPools';
import {
  BAGGAGE_HEADER,
  CALL_ID_HEADER,
  OUTCOME_HEADER,
  TIMEOUT_HEADER,
  type HeaderMap,
} from './headers';
import { type PlacementResult } from './placementResult';
import { readSignals } from './readSignals';
import { SlotAnswer } from './slotAnswer';
import { type Answer, type TransmissionFailure } from './transmission';
import { transmit } from './transmit';

/** Dependencies of an attempt. */
export interface AttemptContext {
  readonly targetPools: ConnectionPools;
  readonly answerIdentity: AnswerIdentity;
  readonly clock: Clock;
  readonly observer: AttemptObserver;
}

function requestHeaders(call: Call, slot: Slot, clock: Clock): HeaderMap {
  const { target } = slot;
  return {
    ...call.headers,
    host: `${target.address}:${target.port}`,
    [CALL_ID_HEADER]: call.traits.callId,
    [TIMEOUT_HEADER]: String(Math.max(0, Math.floor(call.traits.deadline - clock.now()))),
    [BAGGAGE_HEADER]: call.baggage,
  };
}

function toAttemptResult(failure: TransmissionFailure): AttemptResult {
  return match(failure)
    .returnType<AttemptResult>()
    .with({ kind: 'connect-failed' }, () => ({ kind: 'connect-failed' }))
    .with({ kind: 'withheld' }, () => ({ kind: 'not-sent' }))
    .with({ kind: 'lost' }, () => ({ kind: 'connection-lost' }))
    .with({ kind: 'deadline' }, () => ({ kind: 'deadline' }))
    .with({ kind: 'cancelled' }, () => ({ kind: 'cancelled' }))
    .exhaustive();
}

/** Maps a failed transmission to the outcome of its placement. */
export function toOutcome(failure: TransmissionFailure): NotRun | OutcomeUnknown {
  return match(failure)
    .returnType<NotRun | OutcomeUnknown>()
    .with({ kind: 'connect-failed' }, ({ detail }) => notRun('no-usable-target', detail))
    .with({ kind: 'withheld' }, ({ refusal }) => refusal)
    .with({ kind: 'deadline' }, ({ detail }) => outcomeUnknown('deadline', detail))
    .with({ kind: 'lost' }, { kind: 'cancelled' }, ({ detail }) =>
      outcomeUnknown('connection-lost', detail),
    )
    .exhaustive();
}

function reportFailure(
  call: Call,
  target: string,
  failure: TransmissionFailure,
  observer: AttemptObserver,
): void {
  if (failure.kind === 'lost') observer.lost(call, target);
  else if (failure.kind === 'connect-failed') observer.unreachable(target);
}

function checkBeforeSend(call: Call, slot: Slot): Result<void, NotRun> {
  const allowed = slot.maySend();
  if (allowed.err) return allowed;
  if (call.record.beginSend()) return Ok.EMPTY;
  return Err(notRun('refused-by-target', 'a non-idempotent call is sent only once'));
}

function handleAnswerHead(
  call: Call,
  slot: Slot,
  answer: Answer,
  observer: AttemptObserver,
): PlacementResult {
  const { target } = slot.target;
  const signals = readSignals(answer.headers);
  slot.recordAnswerHead();
  observer.answered(target, signals.instance);
  if (answer.status === 503 && answer.headers[OUTCOME_HEADER] === 'not-run') {
    call.record.recordNotRun();
    new SlotAnswer(answer, slot, { kind: 'refused', signals }).discard();
    const outcome = notRun('refused-by-target', `target ${target} did not run the call`);
    return Err({ outcome, target });
  }
  return Ok(new SlotAnswer(answer, slot, { kind: 'answered', status: answer.status, signals }));
}

function discardForeignAnswer(slot: Slot, answer: Answer): PlacementResult {
  answer.cancel();
  slot.finish({ kind: 'connection-lost' });
  const outcome = outcomeUnknown('connection-lost', 'the target sent the answer of another call');
  return Err({ outcome, target: slot.target.target });
}

/** Sends a call to the target of `slot`; the slot is returned whatever the result. */
export async function attemptCall(
  call: Call,
  slot: Slot,
  context: AttemptContext,
): Promise<PlacementResult> {
  const { target } = slot;
  const connections = Math.max(1, Math.floor(target.connections / 2));
  const pool = context.targetPools.poolFor(target.address, target.port, connections);
  const head = await transmit(
    pool,
    {
      method: call.method,
      path: call.path,
      headers: requestHeaders(call, slot, context.clock),
      body: call.body,
      deadline: call.traits.deadline,
      cancellation: call.cancellation,
      checkBeforeSend: () => checkBeforeSend(call, slot),
    },
    context.clock,
  );
  if (head.ok && !context.answerIdentity.mayBelong(head.val.headers, call.traits.callId, pool))
    return discardForeignAnswer(slot, head.val);
  if (head.ok) return handleAnswerHead(call, slot, head.val, context.observer);
  slot.finish(toAttemptResult(head.val));
  reportFailure(call, target.target, head.val, context.observer);
  return Err({ outcome: toOutcome(head.val), target: target.target });
}
