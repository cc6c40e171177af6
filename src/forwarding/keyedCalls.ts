import { createHash } from 'node:crypto';

import { match } from 'ts-pattern';
import { Err, Ok } from 'ts-results';

import {
  type ClaimClient,
  type ClaimRequest,
  type ClaimVerdict,
  UNKNOWN_ANSWER,
} from '../idempotency';
import { notRun, type NotRun } from '../outcomes';
import { type RecordedAnswer } from '../peer';

import { recordAnswer, replayedAnswer } from './answerRecording';
import { type Call } from './call';
import { type EntryRun } from './entryRun';
import { type Placed } from './placed';

const KEY_HEADER = 'idempotency-key';
const LONGEST_KEY = 255;

function refuse(refusal: NotRun): Placed {
  return Err({ outcome: refusal, target: null });
}

function answerEnded(answer: RecordedAnswer): Placed {
  if (answer.whole) return Ok(replayedAnswer(answer));
  const detail =
    answer.status === 0
      ? 'the outcome of the first call with this key is unknown'
      : `the first call with this key ended with status ${answer.status}`;
  return refuse(notRun('duplicate', detail));
}

function answerFor(verdict: Exclude<ClaimVerdict, { kind: 'granted' }>): Placed {
  return match(verdict)
    .returnType<Placed>()
    .with({ kind: 'ended' }, ({ answer }) => answerEnded(answer))
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

/** Runs calls with an Idempotency-Key only while their key is claimed. */
export class KeyedCalls {
  constructor(
    private readonly hostId: string,
    private readonly claims: ClaimClient,
    private readonly next: EntryRun,
  ) {}

  run(call: Call): Promise<Placed> {
    const key = call.headers[KEY_HEADER];
    if (call.traits.idempotent || key === undefined) return this.next(call);
    if (typeof key !== 'string' || key === '' || key.length > LONGEST_KEY) {
      const detail = `${KEY_HEADER} must have 1 to ${LONGEST_KEY} characters`;
      return Promise.resolve(refuse(notRun('bad-request', detail)));
    }
    return this.runKeyed(call, {
      service: call.traits.service,
      key,
      fingerprint: createHash('sha256').update(`${call.method} ${call.path}`).digest('hex'),
      claimant: this.hostId,
      deadline: call.traits.deadline,
    });
  }

  private async runKeyed(call: Call, request: ClaimRequest): Promise<Placed> {
    const verdict = await this.claims.claim(request);
    if (verdict.kind !== 'granted') return answerFor(verdict);
    const placed = await this.next(call);
    if (placed.ok) {
      return Ok(
        recordAnswer(placed.val, (kept) => {
          void this.claims.settle(request, kept);
        }),
      );
    }
    const ran = placed.val.outcome.kind === 'outcome-unknown';
    void this.claims.settle(request, ran ? UNKNOWN_ANSWER : null);
    return placed;
  }
}
