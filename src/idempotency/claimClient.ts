import { type Fleet } from '../fleet';
import { type PeerTransport, type RecordedAnswer } from '../peer';
import { type Clock, rendezvousChoice, waitUntil } from '../runtime';

import { fromReply, toClaimMessage } from './claimMessages';
import { type ClaimRequest } from './claimRequest';
import { type ClaimVerdict } from './claimVerdict';
import { type KeyHome } from './keyHome';
import { keyName, type KeyTable } from './keyTable';

const CLAIM_TRIES = 3;
const SETTLE_TRIES = 50;
const RETRY_INTERVAL_MS = 100;

/** The part of a host as an entry: it claims keys at their homes and settles the claims. */
export class ClaimClient {
  constructor(
    private readonly hostId: string,
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly transport: Pick<PeerTransport, 'call'>,
    private readonly home: KeyHome,
    /** Claims of this host's own calls; they are reported when the home changes. */
    private readonly own: KeyTable,
  ) {}

  /** Claims a key; "not-home" also when the home cannot be reached before the deadline. */
  async claim(request: ClaimRequest): Promise<ClaimVerdict> {
    // At most one call of a key runs on this host, also while the home is asked.
    const known = this.own.find(request.service, request.key);
    if (known?.state === 'running') {
      const same = known.fingerprint === request.fingerprint;
      return { kind: same ? 'in-flight' : 'mismatch' };
    }
    const noted = this.own.claim(request, true);
    return noted.kind === 'granted' ? this.claimAtHome(request) : noted;
  }

  /** Settles a claim; null says that the call did not run. It is tried until the home knows. */
  async settle(request: ClaimRequest, answer: RecordedAnswer | null): Promise<void> {
    this.own.settle(request.service, request.key, answer);
    for (let attempt = 0; attempt < SETTLE_TRIES; attempt += 1) {
      if (await this.settleAtHome(request, answer)) return;
      await waitUntil(this.clock, this.clock.now() + RETRY_INTERVAL_MS);
    }
  }

  private async claimAtHome(request: ClaimRequest): Promise<ClaimVerdict> {
    let lost = false;
    for (let attempt = 0; attempt < CLAIM_TRIES; attempt += 1) {
      const verdict = await this.askHome(request);
      if (verdict?.kind === 'granted') return verdict;
      if (verdict !== null && verdict.kind !== 'not-home') {
        this.own.settle(request.service, request.key, null);
        return verdict;
      }
      lost ||= verdict === null;
      const next = this.clock.now() + RETRY_INTERVAL_MS;
      if (next >= request.deadline || attempt === CLAIM_TRIES - 1) break;
      await waitUntil(this.clock, next);
    }
    if (lost) void this.release(request);
    else this.own.settle(request.service, request.key, null);
    return { kind: 'not-home' };
  }

  /**
   * Frees a claim that may have been granted with its reply lost: one that is granted to this
   * host again is its own. Until then the key counts as running here, so that no repeat on this
   * host is granted the claim that is about to be freed.
   */
  private async release(request: ClaimRequest): Promise<void> {
    for (let attempt = 0; attempt < SETTLE_TRIES; attempt += 1) {
      await waitUntil(this.clock, this.clock.now() + RETRY_INTERVAL_MS);
      const verdict = await this.askHome(request);
      if (verdict === null) continue;
      if (verdict.kind === 'granted') await this.settleAtHome(request, null);
      break;
    }
    this.own.settle(request.service, request.key, null);
  }

  private async askHome(request: ClaimRequest): Promise<ClaimVerdict | null> {
    const home = this.homeOf(request);
    if (home === null) return { kind: 'not-home' };
    if (home === this.hostId) return this.home.claim(request);
    const epoch = this.fleet.view()?.record.epoch ?? 0;
    const message = toClaimMessage(request, epoch, this.clock.now());
    const reply = await this.transport.call(home, 'claimKey', message);
    return reply.ok ? fromReply(reply.val) : null;
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
