import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';
import { type Choice, type PoolState } from '../routing';
import { type Clock } from '../runtime';

import { toOutcome } from './attempt';
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
import { type PlacementResult } from './placementResult';
import { readRelayedOutcome } from './readRelayedOutcome';
import { type Answer } from './transmission';
import { transmit } from './transmit';

/** Dependencies of a relay. */
export interface RelayContext {
  readonly hostId: string;
  readonly peerSecret: string;
  readonly pools: ConnectionPools;
  readonly clock: Clock;
  /** True while the view of the fleet has not expired. */
  readonly viewIsCurrent: () => boolean;
  /** Median response time of a service in milliseconds; 0 when unknown. */
  readonly medianMs: (service: string) => number;
  /** Records the load that an owner reports with its response. */
  readonly recordOwnerState: (service: string, hostId: string, state: PoolState) => void;
}

// Unlimited: calls in the wait queue of an owner occupy connections, and behind a full pool a call
// of a higher class would wait in order of arrival. Load shedding limits the number of calls.
const RELAY_CONNECTIONS = null;
// The owner's deadline is this much earlier than the entry's, so that its "not-run" still arrives.
const ANSWER_MARGIN_MS = 5;

function ownerTimeLimitMs(deadline: number, clock: Clock): number {
  const leftMs = deadline - clock.now();
  return Math.max(
    0,
    Math.floor(leftMs > 2 * ANSWER_MARGIN_MS ? leftMs - ANSWER_MARGIN_MS : leftMs / 2),
  );
}

function requestHeaders(call: Call, context: RelayContext): HeaderMap {
  const { traits } = call;
  const headers: HeaderMap = {
    ...call.headers,
    [PEER_SECRET_HEADER]: context.peerSecret,
    [ENTRY_HEADER]: context.hostId,
    [CALL_ID_HEADER]: traits.callId,
    [SERVICE_HEADER]: traits.service,
    [CLASS_HEADER]: traits.class,
    [IDEMPOTENT_HEADER]: traits.idempotent ? 'yes' : 'no',
    [TIMEOUT_HEADER]: String(ownerTimeLimitMs(traits.deadline, context.clock)),
    [BAGGAGE_HEADER]: call.baggage,
    [MEDIAN_HEADER]: context.medianMs(traits.service).toFixed(1),
  };
  if (traits.avoid.size > 0) headers[AVOID_HEADER] = [...traits.avoid].join(',');
  if (traits.suspect !== null) headers[SUSPECT_HEADER] = traits.suspect;
  return headers;
}

function checkBeforeSend(call: Call, context: RelayContext): Result<void, NotRun> {
  if (!context.viewIsCurrent()) return Err(notRun('view-expired', 'this host is cut off'));
  if (call.record.beginSend()) return Ok.EMPTY;
  return Err(notRun('refused-by-target', 'a non-idempotent call is sent only once'));
}

async function handleAnswerHead(call: Call, answer: Answer): Promise<PlacementResult> {
  const targetHeader = answer.headers[TARGET_HEADER];
  const target = typeof targetHeader === 'string' && targetHeader !== '' ? targetHeader : null;
  const outcomeKind = answer.headers[OUTCOME_HEADER];
  if (outcomeKind !== 'not-run' && outcomeKind !== 'outcome-unknown') {
    return Ok({
      status: answer.status,
      headers: answer.headers,
      target: target ?? '',
      streamTo: (sink) => answer.streamTo(sink),
      cancel: () => answer.cancel(),
    });
  }
  if (outcomeKind === 'not-run') call.record.recordNotRun();
  return Err({ outcome: await readRelayedOutcome(answer, outcomeKind), target });
}

/** Sends a call to the chosen owner, which sends it to one of its targets. */
export async function relayCall(
  call: Call,
  choice: Choice,
  context: RelayContext,
): Promise<PlacementResult> {
  const { host } = choice.owner;
  const head = await transmit(
    context.pools.poolFor(host.address, host.relay_port, RELAY_CONNECTIONS),
    {
      method: call.method,
      path: call.path,
      body: call.body,
      deadline: call.traits.deadline,
      cancellation: call.cancellation,
      headers: requestHeaders(call, context),
      checkBeforeSend: () => checkBeforeSend(call, context),
    },
    context.clock,
  );
  if (head.err) return Err({ outcome: toOutcome(head.val), target: null });
  const state = readOwnerState(head.val.headers[OWNER_STATE_HEADER]);
  if (state !== null) context.recordOwnerState(call.traits.service, host.host, state);
  return handleAnswerHead(call, head.val);
}
