import { Err, type Result } from 'ts-results';
import { match } from 'ts-pattern';

import { notRun, outcomeUnknown, type NotRun, type OutcomeUnknown } from '../outcomes';
import { type AttemptResult, type Slot, type TargetSignals } from '../routing';
import { type Clock } from '../runtime';

import { type Call } from './call';
import { type ConnectionPools } from './connectionPools';
import {
  CALL_ID_HEADER,
  LOAD_HEADER,
  OUTCOME_HEADER,
  TARGET_INSTANCE_HEADER,
  TARGET_STATE_HEADER,
  TIMEOUT_HEADER,
  type HeaderMap,
} from './headers';
import { type Answer, type BodySink, type TransmissionFailure } from './transmission';
import { transmit } from './transmit';

const UTILIZATION = /(?:application_utilization|cpu_utilization)["\s]*[:=]\s*([0-9.]+)/;

function readSignals(headers: Answer['headers']): TargetSignals {
  const instance = headers[TARGET_INSTANCE_HEADER];
  const load = headers[LOAD_HEADER];
  const utilization = typeof load === 'string' ? UTILIZATION.exec(load) : null;
  return {
    instance: typeof instance === 'string' ? instance : null,
    draining: headers[TARGET_STATE_HEADER] === 'draining',
    utilization: utilization === null ? null : Number(utilization[1]),
  };
}

function headersFor(call: Call, slot: Slot, clock: Clock): HeaderMap {
  const { target } = slot;
  return {
    ...call.headers,
    host: `${target.address}:${target.port}`,
    [CALL_ID_HEADER]: call.traits.callId,
    [TIMEOUT_HEADER]: String(Math.max(0, Math.floor(call.traits.deadline - clock.now()))),
  };
}

function resultOf(failure: TransmissionFailure): AttemptResult {
  return match(failure)
    .returnType<AttemptResult>()
    .with({ kind: 'not-sent', refusal: null }, () => ({ kind: 'connect-failed' }))
    .with({ kind: 'not-sent' }, () => ({ kind: 'not-sent' }))
    .with({ kind: 'lost' }, () => ({ kind: 'connection-lost' }))
    .with({ kind: 'deadline' }, () => ({ kind: 'deadline' }))
    .with({ kind: 'cancelled' }, () => ({ kind: 'cancelled' }))
    .exhaustive();
}

/** Translates a failed transmission into the outcome of its attempt. */
export function outcomeOf(failure: TransmissionFailure): NotRun | OutcomeUnknown {
  return match(failure)
    .returnType<NotRun | OutcomeUnknown>()
    .with(
      { kind: 'not-sent' },
      ({ refusal, detail }) => refusal ?? notRun('no-usable-target', detail),
    )
    .with({ kind: 'deadline' }, ({ detail }) => outcomeUnknown('deadline', detail))
    .with({ kind: 'lost' }, { kind: 'cancelled' }, ({ detail }) =>
      outcomeUnknown('connection-lost', detail),
    )
    .exhaustive();
}

/** Returns the slot when the body has ended. */
function releasing(slot: Slot, result: AttemptResult, sink: BodySink): BodySink {
  return {
    data: (chunk, drained) => sink.data(chunk, drained),
    end: (end) => {
      slot.finish(end === 'whole' ? result : { kind: 'connection-lost' });
      sink.end(end);
    },
  };
}

/** Sends a call to the target of `slot`; the slot is returned in every case. */
export async function attemptCall(
  call: Call,
  slot: Slot,
  pools: ConnectionPools,
  clock: Clock,
): Promise<Result<Answer, NotRun | OutcomeUnknown>> {
  const { target } = slot;
  const connections = Math.max(1, Math.floor(target.connections / 2));
  const head = await transmit(
    pools.to(target.address, target.port, connections),
    {
      method: call.method,
      path: call.path,
      headers: headersFor(call, slot, clock),
      body: call.body,
      deadline: call.traits.deadline,
      signal: call.signal,
      mayLeave: () => slot.mayLeave(),
    },
    clock,
  );
  if (head.err) {
    slot.finish(resultOf(head.val));
    return Err(outcomeOf(head.val));
  }
  slot.answered();
  const answer = head.val;
  const signals = readSignals(answer.headers);
  if (answer.status === 503 && answer.headers[OUTCOME_HEADER] === 'not-run') {
    slot.finish({ kind: 'refused', signals });
    answer.streamTo({ data: () => true, end: () => {} });
    return Err(notRun('refused-by-target', `target ${target.target} did not run the call`));
  }
  const result: AttemptResult = { kind: 'answered', status: answer.status, signals };
  return head.map((received) => ({
    ...received,
    streamTo: (sink: BodySink) => received.streamTo(releasing(slot, result, sink)),
  }));
}
