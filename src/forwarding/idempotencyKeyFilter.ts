import { createHash } from 'node:crypto';

import { match } from 'ts-pattern';
import { Err, Ok } from 'ts-results';

import {
  type ClaimClient,
  type ClaimRequest,
  type ClaimResult,
  UNKNOWN_ANSWER,
} from '../idempotency';
import { notRun, type NotRun } from '../outcomes';
import { type RecordedAnswer } from '../peer';

import { recordAnswer, replayedAnswer } from './answerRecording';
import { type Call } from './call';
import { type CallHandler } from './callHandler';
import { type PlacementResult } from './placementResult';

const KEY_HEADER = 'idempotency-key';
const MAX_KEY_LENGTH = 255;

function refuse(refusal: NotRun): PlacementResult {
  return Err({ outcome: refusal, target: null });
}

function replayOrRefuse(answer: RecordedAnswer): PlacementResult {
  if (answer.whole) return Ok(replayedAnswer(answer));
  const detail =
    answer.status === 0
      ? 'the outcome of the first call with this key is unknown'
      : `the first call with this key ended with status ${answer.status}`;
  return refuse(notRun('duplicate', detail));
}

function resultFor(result: Exclude<ClaimResult, { kind: 'granted' }>): PlacementResult {
  return match(result)
    .returnType<PlacementResult>()
    .with({ kind: 'ended' }, ({ answer }) => replayOrRefuse(answer))
    .with({ kind: 'in-flight' }, () =>
      refuse(notRun('duplicate', 'a call with this key is running')),
    )
    .with({ kind: 'mismatch' }, () =>
      refuse(notRun('key-reused', 'the key was used for another request')),
    )
    .with({ kind: 'not-home' }, () =>
      refuse(notRun('key-home-unreachable', 'the home of the key cannot be asked now')),
    )
    .with({ kind: 'full' }, () => refuse(notRun('overloaded', 'too many keys are remembered')))
    .exhaustive();
}

/** Runs a non-idempotent call with an Idempotency-Key only after claiming its key. */
export class IdempotencyKeyFilter {
  constructor(
    private readonly hostId: string,
    private readonly claims: ClaimClient,
    private readonly next: CallHandler,
  ) {}

  run(call: Call): Promise<PlacementResult> {
    const key = call.headers[KEY_HEADER];
    if (call.traits.idempotent || key === undefined) return this.next(call);
    if (typeof key !== 'string' || key === '' || key.length > MAX_KEY_LENGTH) {
      const detail = `${KEY_HEADER} must have 1 to ${MAX_KEY_LENGTH} characters`;
      return Promise.resolve(refuse(notRun('bad-request', detail)));
    }
    return this.runWithKey(call, {
      service: call.traits.service,
      key,
      fingerprint: createHash('sha256').update(`${call.method} ${call.path}`).digest('hex'),
      claimant: this.hostId,
      deadline: call.traits.deadline,
    });
  }

  private async runWithKey(call: Call, request: ClaimRequest): Promise<PlacementResult> {
    const claimResult = await this.claims.claim(request);
    if (claimResult.kind !== 'granted') return resultFor(claimResult);
    const result = await this.next(call);
    if (result.ok) {
      return Ok(
        recordAnswer(result.val, (recorded) => {
          void this.claims.settle(request, recorded);
        }),
      );
    }
    const mayHaveRun = result.val.outcome.kind === 'outcome-unknown';
    void this.claims.settle(request, mayHaveRun ? UNKNOWN_ANSWER : null);
    return result;
  }
}
