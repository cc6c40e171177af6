import { type ClaimKeyReply, type ClaimKeyRequest, ClaimState, type ReportedClaim } from '../peer';

import { type ClaimRequest } from './claimRequest';
import { type ClaimResult } from './claimResult';
import { type KeyClaim } from './keyClaim';
import { KEY_LIFETIME_MS, UNKNOWN_ANSWER } from './keyTable';

const CLAIM_STATES: Readonly<Record<ClaimResult['kind'], ClaimState>> = {
  granted: ClaimState.CLAIM_STATE_GRANTED,
  'in-flight': ClaimState.CLAIM_STATE_IN_FLIGHT,
  ended: ClaimState.CLAIM_STATE_ENDED,
  mismatch: ClaimState.CLAIM_STATE_MISMATCH,
  'not-home': ClaimState.CLAIM_STATE_NOT_HOME,
  full: ClaimState.CLAIM_STATE_NOT_HOME,
};

/** Converts a claim to its message. */
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

/** Converts a message to the claim that it requests. */
export function fromClaimMessage(message: ClaimKeyRequest, now: number): ClaimRequest {
  return {
    service: message.service,
    key: message.key,
    fingerprint: message.fingerprint,
    claimant: message.hostId,
    deadline: now + message.timeLeftMs,
  };
}

/** Converts the result of a claim to its reply. */
export function toClaimReply(result: ClaimResult): ClaimKeyReply {
  const answer = result.kind === 'ended' ? result.answer : undefined;
  return { state: CLAIM_STATES[result.kind], answer };
}

/** Converts a reply to the result of the claim; an unknown state counts as "not-home". */
export function fromClaimReply(reply: ClaimKeyReply): ClaimResult {
  if (reply.state === ClaimState.CLAIM_STATE_ENDED) {
    return { kind: 'ended', answer: reply.answer ?? UNKNOWN_ANSWER };
  }
  if (reply.state === ClaimState.CLAIM_STATE_GRANTED) return { kind: 'granted' };
  if (reply.state === ClaimState.CLAIM_STATE_IN_FLIGHT) return { kind: 'in-flight' };
  if (reply.state === ClaimState.CLAIM_STATE_MISMATCH) return { kind: 'mismatch' };
  return { kind: 'not-home' };
}

/** Converts a claim for the report to a new home; a running one gives its remaining run time. */
export function toReportedClaim(claim: KeyClaim, now: number): ReportedClaim {
  const endsAt = claim.state === 'running' ? claim.runsUntil : claim.expiresAt;
  return {
    service: claim.service,
    key: claim.key,
    fingerprint: claim.fingerprint,
    ended: claim.state === 'ended',
    answer: claim.answer ?? undefined,
    timeLeftMs: Math.max(0, Math.ceil(endsAt - now)),
  };
}

/** Converts a reported claim; its claimant is not reported, so that no retry is granted. */
export function fromReportedClaim(reported: ReportedClaim, now: number): KeyClaim {
  const endsAt = now + reported.timeLeftMs;
  return {
    service: reported.service,
    key: reported.key,
    fingerprint: reported.fingerprint,
    claimant: '',
    state: reported.ended ? 'ended' : 'running',
    isGranted: true,
    answer: reported.ended ? (reported.answer ?? UNKNOWN_ANSWER) : null,
    runsUntil: reported.ended ? now : endsAt,
    expiresAt: reported.ended ? endsAt : now + KEY_LIFETIME_MS,
  };
}
