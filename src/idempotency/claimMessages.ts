import { type ClaimKeyReply, type ClaimKeyRequest, ClaimState, type ReportedClaim } from '../peer';

import { type ClaimRequest } from './claimRequest';
import { type ClaimVerdict } from './claimVerdict';
import { type KeyClaim } from './keyClaim';
import { KEY_LIFETIME_MS, UNKNOWN_ANSWER } from './keyTable';

const STATES: Readonly<Record<ClaimVerdict['kind'], ClaimState>> = {
  granted: ClaimState.CLAIM_STATE_GRANTED,
  'in-flight': ClaimState.CLAIM_STATE_IN_FLIGHT,
  ended: ClaimState.CLAIM_STATE_ENDED,
  mismatch: ClaimState.CLAIM_STATE_MISMATCH,
  'not-home': ClaimState.CLAIM_STATE_NOT_HOME,
  full: ClaimState.CLAIM_STATE_NOT_HOME,
};

/** The message that claims a key. */
export function toClaimMessage(request: ClaimRequest, epoch: number, now: number): ClaimKeyRequest {
  return {
    hostId: request.claimant,
    epoch,
    service: request.service,
    key: request.key,
    fingerprint: request.fingerprint,
    timeLeftMs: Math.max(0, Math.ceil(request.deadline - now)),
  };
}

/** The claim that a message asks for. */
export function fromClaimMessage(message: ClaimKeyRequest, now: number): ClaimRequest {
  return {
    service: message.service,
    key: message.key,
    fingerprint: message.fingerprint,
    claimant: message.hostId,
    deadline: now + message.timeLeftMs,
  };
}

/** The reply that carries a verdict. */
export function toReply(verdict: ClaimVerdict): ClaimKeyReply {
  const answer = verdict.kind === 'ended' ? verdict.answer : undefined;
  return { state: STATES[verdict.kind], answer };
}

/** The verdict that a reply carries; an unknown state counts as "not home". */
export function fromReply(reply: ClaimKeyReply): ClaimVerdict {
  if (reply.state === ClaimState.CLAIM_STATE_ENDED) {
    return { kind: 'ended', answer: reply.answer ?? UNKNOWN_ANSWER };
  }
  if (reply.state === ClaimState.CLAIM_STATE_GRANTED) return { kind: 'granted' };
  if (reply.state === ClaimState.CLAIM_STATE_IN_FLIGHT) return { kind: 'in-flight' };
  if (reply.state === ClaimState.CLAIM_STATE_MISMATCH) return { kind: 'mismatch' };
  return { kind: 'not-home' };
}

/** A claim as it is reported to a new home; a running one tells how long it may still run. */
export function toReported(claim: KeyClaim, now: number): ReportedClaim {
  const until = claim.state === 'running' ? claim.runsUntil : claim.keptUntil;
  return {
    service: claim.service,
    key: claim.key,
    fingerprint: claim.fingerprint,
    ended: claim.state === 'ended',
    answer: claim.answer ?? undefined,
    timeLeftMs: Math.max(0, Math.ceil(until - now)),
  };
}

/** A claim that another host reported; the claimant is not told, so no repeat is granted. */
export function fromReported(reported: ReportedClaim, now: number): KeyClaim {
  const until = now + reported.timeLeftMs;
  return {
    service: reported.service,
    key: reported.key,
    fingerprint: reported.fingerprint,
    claimant: '',
    state: reported.ended ? 'ended' : 'running',
    answer: reported.ended ? (reported.answer ?? UNKNOWN_ANSWER) : null,
    runsUntil: reported.ended ? now : until,
    keptUntil: reported.ended ? until : now + KEY_LIFETIME_MS,
  };
}
