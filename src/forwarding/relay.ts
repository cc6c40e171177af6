import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun, type OutcomeUnknown } from '../outcomes';
import { type Choice, type PoolState } from '../routing';
import { type Clock } from '../runtime';

import { outcomeOf } from './attempt';
import { type Call } from './call';
import { type ConnectionPools } from './connectionPools';
import {
  CALL_ID_HEADER,
  CLASS_HEADER,
  ENTRY_HEADER,
  IDEMPOTENT_HEADER,
  OUTCOME_HEADER,
  OWNER_STATE_HEADER,
  PEER_SECRET_HEADER,
  SERVICE_HEADER,
  TIMEOUT_HEADER,
} from './headers';
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
  /** Learns the load of the owner from its answer. */
  readonly learn: (service: string, hostId: string, state: PoolState) => void;
}

const RELAY_CONNECTIONS = 256;

/** Writes the load of a pool as a header value. */
export function writeOwnerState(state: PoolState): string {
  return `${state.limit},${state.inFlight},${state.queued},${state.medianMs.toFixed(1)}`;
}

function readOwnerState(value: string): PoolState | null {
  const [limit, inFlight, queued, medianMs] = value.split(',').map(Number);
  const numbers = [limit, inFlight, queued, medianMs];
  if (numbers.some((number) => number === undefined || !Number.isFinite(number))) return null;
  return { limit: limit!, inFlight: inFlight!, queued: queued!, medianMs: medianMs! };
}

async function readRefusal(answer: Answer): Promise<NotRun> {
  const chunks: Buffer[] = [];
  await new Promise<void>((resolve) => {
    answer.streamTo({
      data: (chunk) => {
        chunks.push(chunk);
        return true;
      },
      end: () => resolve(),
    });
  });
  try {
    const problem = JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>;
    return notRun(problem.reason as NotRun['reason'], String(problem.detail));
  } catch {
    return notRun('overloaded', 'the owner refused the call');
  }
}

/** Sends a call to the owner that was chosen; the owner sends it to one of its targets. */
export async function relayCall(
  call: Call,
  choice: Choice,
  context: RelayContext,
): Promise<Result<Answer, NotRun | OutcomeUnknown>> {
  const { host } = choice.owner;
  const { traits } = call;
  const head = await transmit(
    context.pools.to(host.address, host.relay_port, RELAY_CONNECTIONS),
    {
      method: call.method,
      path: call.path,
      body: call.body,
      deadline: traits.deadline,
      signal: call.signal,
      headers: {
        ...call.headers,
        [PEER_SECRET_HEADER]: context.peerSecret,
        [ENTRY_HEADER]: context.hostId,
        [CALL_ID_HEADER]: traits.callId,
        [SERVICE_HEADER]: traits.service,
        [CLASS_HEADER]: traits.class,
        [IDEMPOTENT_HEADER]: traits.idempotent ? 'yes' : 'no',
        [TIMEOUT_HEADER]: String(Math.max(0, Math.floor(traits.deadline - context.clock.now()))),
      },
      mayLeave: () =>
        context.viewIsCurrent() ? Ok.EMPTY : Err(notRun('view-expired', 'this host is cut off')),
    },
    context.clock,
  );
  if (head.err) return Err(outcomeOf(head.val));
  const answer = head.val;
  const state = answer.headers[OWNER_STATE_HEADER];
  const read = typeof state === 'string' ? readOwnerState(state) : null;
  if (read !== null) context.learn(traits.service, host.host, read);
  if (answer.headers[OUTCOME_HEADER] === 'not-run') return Err(await readRefusal(answer));
  return Ok(answer);
}
