import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';
import { type Choice, type PoolState } from '../routing';
import { type Clock } from '../runtime';

import { outcomeOf } from './attempt';
import { type Call } from './call';
import { type ConnectionPools } from './connectionPools';
import {
  AVOID_HEADER,
  BAGGAGE_HEADER,
  CALL_ID_HEADER,
  CLASS_HEADER,
  ENTRY_HEADER,
  type HeaderMap,
  IDEMPOTENT_HEADER,
  MEDIAN_HEADER,
  OUTCOME_HEADER,
  OWNER_STATE_HEADER,
  PEER_SECRET_HEADER,
  SERVICE_HEADER,
  SUSPECT_HEADER,
  TARGET_HEADER,
  TIMEOUT_HEADER,
} from './headers';
import { readOwnerState } from './ownerState';
import { type Placed } from './placed';
import { readRelayedOutcome } from './relayRefusal';
import { type Answer } from './transmission';
import { transmit } from './transmit';

/** What a relay needs of this host. */
export interface RelayContext {
  readonly hostId: string;
  readonly peerSecret: string;
  readonly pools: ConnectionPools;
  readonly clock: Clock;
  /** True while this host may act on its view. */
  readonly viewIsCurrent: () => boolean;
  /** Median answer time of a service in milliseconds; 0 when not known. */
  readonly medianMs: (service: string) => number;
  /** Learns the load of the owner from its answer. */
  readonly learn: (service: string, hostId: string, state: PoolState) => void;
}

// Without a bound of its own: calls that wait at an owner hold their connections, and a call of a
// higher class behind a full set of them would wait in order of arrival. LoadGuard bounds the calls.
const RELAY_CONNECTIONS = null;
// The owner's deadline lies this much before the entry's, so that its "not run" still arrives.
const ANSWER_MARGIN_MS = 5;

function timeLeft(deadline: number, clock: Clock): number {
  const left = deadline - clock.now();
  return Math.max(0, Math.floor(left > 2 * ANSWER_MARGIN_MS ? left - ANSWER_MARGIN_MS : left / 2));
}

function headersFor(call: Call, context: RelayContext): HeaderMap {
  const { traits } = call;
  const headers: HeaderMap = {
    ...call.headers,
    [PEER_SECRET_HEADER]: context.peerSecret,
    [ENTRY_HEADER]: context.hostId,
    [CALL_ID_HEADER]: traits.callId,
    [SERVICE_HEADER]: traits.service,
    [CLASS_HEADER]: traits.class,
    [IDEMPOTENT_HEADER]: traits.idempotent ? 'yes' : 'no',
    [TIMEOUT_HEADER]: String(timeLeft(traits.deadline, context.clock)),
    [BAGGAGE_HEADER]: call.baggage,
    [MEDIAN_HEADER]: context.medianMs(traits.service).toFixed(1),
  };
  if (traits.avoid.size > 0) headers[AVOID_HEADER] = [...traits.avoid].join(',');
  if (traits.suspect !== null) headers[SUSPECT_HEADER] = traits.suspect;
  return headers;
}

function departureCheck(call: Call, context: RelayContext): Result<void, NotRun> {
  if (!context.viewIsCurrent()) return Err(notRun('view-expired', 'this host is cut off'));
  if (call.record.beginSend()) return Ok.EMPTY;
  return Err(notRun('refused-by-target', 'a non-idempotent call is sent only once'));
}

async function takeAnswer(call: Call, answer: Answer): Promise<Placed> {
  const named = answer.headers[TARGET_HEADER];
  const target = typeof named === 'string' && named !== '' ? named : null;
  const told = answer.headers[OUTCOME_HEADER];
  if (told !== 'not-run' && told !== 'outcome-unknown') {
    return Ok({
      status: answer.status,
      headers: answer.headers,
      target: target ?? '',
      streamTo: (sink) => answer.streamTo(sink),
      cancel: () => answer.cancel(),
    });
  }
  if (told === 'not-run') call.record.sendDidNotRun();
  return Err({ outcome: await readRelayedOutcome(answer, told), target });
}

/** Sends a call to the owner that was chosen; the owner sends it to one of its targets. */
export async function relayCall(
  call: Call,
  choice: Choice,
  context: RelayContext,
): Promise<Placed> {
  const { host } = choice.owner;
  const head = await transmit(
    context.pools.to(host.address, host.relay_port, RELAY_CONNECTIONS),
    {
      method: call.method,
      path: call.path,
      body: call.body,
      deadline: call.traits.deadline,
      cancellation: call.cancellation,
      headers: headersFor(call, context),
      mayLeave: () => departureCheck(call, context),
    },
    context.clock,
  );
  if (head.err) return Err({ outcome: outcomeOf(head.val), target: null });
  const state = readOwnerState(head.val.headers[OWNER_STATE_HEADER]);
  if (state !== null) context.learn(call.traits.service, host.host, state);
  return takeAnswer(call, head.val);
}
