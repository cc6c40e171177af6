import { type Fleet, type FleetView } from '../fleet';
import {
  type ClaimKeyReply,
  type ClaimKeyRequest,
  type PeerTransport,
  type RecordedAnswer,
  type ReportClaimsRequest,
  type SettleKeyRequest,
} from '../peer';
import { type Clock } from '../runtime';

import { fromClaimMessage, fromReported, toReply } from './claimMessages';
import { type ClaimRequest } from './claimRequest';
import { type ClaimVerdict } from './claimVerdict';
import { HomeKnowledge } from './homeKnowledge';
import { keyName, type KeyTable, UNKNOWN_ANSWER } from './keyTable';

function longestCallOf(view: FleetView): number {
  return Math.max(0, ...[...view.sheet.services.values()].map((each) => each.time_limit_ms));
}

/** The part of a host as the home of keys: it grants claims and remembers how calls ended. */
export class KeyHome {
  private readonly knowledge: HomeKnowledge;

  constructor(
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly table: KeyTable,
    hostId: string,
  ) {
    this.knowledge = new HomeKnowledge(hostId, clock);
  }

  /** Takes a new view. */
  applyView(view: FleetView): void {
    this.knowledge.learn(view.record, longestCallOf(view));
  }

  /** Registers the peer methods of this module. */
  serve(transport: Pick<PeerTransport, 'handle'>): void {
    transport.handle('claimKey', (request) => this.claimKey(request));
    transport.handle('settleKey', (request) => this.settleKey(request));
    transport.handle('reportClaims', (request) => this.reportClaims(request));
  }

  /** Judges a claim. */
  claim(request: ClaimRequest): ClaimVerdict {
    const name = keyName(request.service, request.key);
    const current = this.clock.now() < this.fleet.viewDeadline();
    if (!current || !this.knowledge.isHome(name)) return { kind: 'not-home' };
    return this.table.claim(request, this.knowledge.knowsAll(name));
  }

  /** Notes how the call of a key ended; null frees the key. */
  settle(service: string, key: string, answer: RecordedAnswer | null): void {
    this.table.settle(service, key, answer);
  }

  private claimKey(message: ClaimKeyRequest): ClaimKeyReply {
    return toReply(this.claim(fromClaimMessage(message, this.clock.now())));
  }

  private settleKey({ service, key, ran, answer }: SettleKeyRequest): Record<string, never> {
    this.table.settle(service, key, ran ? (answer ?? UNKNOWN_ANSWER) : null);
    return {};
  }

  private reportClaims(request: ReportClaimsRequest): Record<string, never> {
    const now = this.clock.now();
    for (const claim of request.claims) this.table.adopt(fromReported(claim, now));
    this.knowledge.reported(request.hostId, request.epoch);
    return {};
  }
}
