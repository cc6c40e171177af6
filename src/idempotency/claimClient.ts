import { type Fleet } from '../fleet';
import { type PeerTransport, type RecordedAnswer } from '../peer';
import { type Clock, rendezvousChoice, waitUntil } from '../runtime';

import { fromClaimReply, toClaimMessage } from './claimMessages';
import { type ClaimRequest } from './claimRequest';
import { type ClaimResult } from './claimResult';
import { type KeyHome } from './keyHome';
import { keyName, type KeyTable } from './keyTable';

const MAX_CLAIM_ATTEMPTS = 3;
const MAX_SETTLE_ATTEMPTS = 50;
const RETRY_INTERVAL_MS = 100;

/** Claims keys at their homes for calls that enter through this host, and settles the claims. */
export class ClaimClient {
  constructor(
    private readonly hostId: string,
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly transport: Pick<PeerTransport, 'call'>,
    private readonly home: KeyHome,
    /** Claims of calls that run on this host; they are reported when the home of a key changes. */
    private readonly ownTable: KeyTable,
  ) {}

  /** Claims a key; returns "not-home" also when the home is unreachable until the deadline. */
  async claim(request: ClaimRequest): Promise<ClaimResult> {
    // At most one call per key runs on this host, also while a claim at the home is pending.
    const known = this.ownTable.find(request.service, request.key);
    if (known?.state === 'running') {
      const isSameRequest = known.fingerprint === request.fingerprint;
      return { kind: isSameRequest ? 'in-flight' : 'mismatch' };
    }
    const localResult = this.ownTable.claim(request, true, false);
    return localResult.kind === 'granted' ? this.claimAtHome(request) : localResult;
  }

  /**
   * Settles a claim; a null `answer` means that the call did not run. Retries until the home
   * acknowledges it, up to MAX_SETTLE_ATTEMPTS.
   */
  async settle(request: ClaimRequest, answer: RecordedAnswer | null): Promise<void> {
    this.ownTable.settle(request.service, request.key, answer);
    for (let attempt = 0; attempt < MAX_SETTLE_ATTEMPTS; attempt += 1) {
      if (await this.settleAtHome(request, answer)) return;
      await waitUntil(this.clock, this.clock.now() + RETRY_INTERVAL_MS);
    }
  }

  private async claimAtHome(request: ClaimRequest): Promise<ClaimResult> {
    let hasLostReply = false;
    for (let attempt = 0; attempt < MAX_CLAIM_ATTEMPTS; attempt += 1) {
      const result = await this.requestClaim(request);
      if (result?.kind === 'granted') {
        this.ownTable.confirm(request.service, request.key);
        return result;
      }
      if (result !== null && result.kind !== 'not-home') {
        this.ownTable.settle(request.service, request.key, null);
        return result;
      }
      hasLostReply ||= result === null;
      const nextAttemptAt = this.clock.now() + RETRY_INTERVAL_MS;
      if (nextAttemptAt >= request.deadline || attempt === MAX_CLAIM_ATTEMPTS - 1) break;
      await waitUntil(this.clock, nextAttemptAt);
    }
    if (hasLostReply) void this.releaseClaim(request);
    else this.ownTable.settle(request.service, request.key, null);
    return { kind: 'not-home' };
  }

  /**
   * Releases a claim that the home may have granted although the reply was lost. The home grants it
   * to this host again only if it is this host's own claim. Until then the key counts as running
   * here, so that no retry through this host is granted the claim that is about to be released.
   */
  private async releaseClaim(request: ClaimRequest): Promise<void> {
    for (let attempt = 0; attempt < MAX_SETTLE_ATTEMPTS; attempt += 1) {
      await waitUntil(this.clock, this.clock.now() + RETRY_INTERVAL_MS);
      const result = await this.requestClaim(request);
      if (result === null) continue;
      if (result.kind === 'granted') await this.settleAtHome(request, null);
      break;
    }
    this.ownTable.settle(request.service, request.key, null);
  }

  private async requestClaim(request: ClaimRequest): Promise<ClaimResult | null> {
    const home = this.homeOf(request);
    if (home === null) return { kind: 'not-home' };
    if (home === this.hostId) return this.home.claim(request);
    const epoch = this.fleet.view()?.record.epoch ?? 0;
    const message = toClaimMessage(request, epoch, this.clock.now());
    const reply = await this.transport.call(home, 'claimKey', message);
    return reply.ok ? fromClaimReply(reply.val) : null;
  }

  private async settleAtHome(
    request: ClaimRequest,
    answer: RecordedAnswer | null,
  ): Promise<boolean> {
    const home = this.homeOf(request);
    if (home === null) return false;
    const { service, key } = request;
    if (home === this.hostId) {
      this.home.settle(service, key, answer);
      return true;
    }
    const message = { service, key, ran: answer !== null, answer: answer ?? undefined };
    return (await this.transport.call(home, 'settleKey', message)).ok;
  }

  private homeOf(request: ClaimRequest): string | null {
    const members = this.fleet.view()?.record.members ?? [];
    return rendezvousChoice(keyName(request.service, request.key), members) ?? null;
  }
}
