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

import { fromClaimMessage, fromReportedClaim, toClaimReply } from './claimMessages';
import { type ClaimRequest } from './claimRequest';
import { type ClaimResult } from './claimResult';
import { ClaimCompleteness } from './homeKnowledge';
import { keyName, type KeyTable, UNKNOWN_ANSWER } from './keyTable';

function maxCallDurationOf(view: FleetView): number {
  return Math.max(0, ...[...view.sheet.services.values()].map((each) => each.time_limit_ms));
}

/** Grants claims of the keys whose home this host is, and stores how their calls ended. */
export class KeyHome {
  private readonly completeness: ClaimCompleteness;

  constructor(
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly table: KeyTable,
    hostId: string,
  ) {
    this.completeness = new ClaimCompleteness(hostId, clock);
  }

  applyView(view: FleetView): void {
    this.completeness.applyRecord(view.record, maxCallDurationOf(view));
  }

  /** Registers handlers for the peer methods of this module. */
  registerHandlers(transport: Pick<PeerTransport, 'handle'>): void {
    transport.handle('claimKey', (request) => this.claimKey(request));
    transport.handle('settleKey', (request) => this.settleKey(request));
    transport.handle('reportClaims', (request) => this.reportClaims(request));
  }

  /** Decides on a claim; grants nothing when the view has expired. */
  claim(request: ClaimRequest): ClaimResult {
    const name = keyName(request.service, request.key);
    const isViewValid = this.clock.now() < this.fleet.viewDeadline();
    if (!isViewValid || !this.completeness.isHome(name)) return { kind: 'not-home' };
    return this.table.claim(request, this.completeness.isCompleteFor(name));
  }

  /** Records how the call of a key ended; a null `answer` releases the key. */
  settle(service: string, key: string, answer: RecordedAnswer | null): void {
    this.table.settle(service, key, answer);
  }

  private claimKey(message: ClaimKeyRequest): ClaimKeyReply {
    return toClaimReply(this.claim(fromClaimMessage(message, this.clock.now())));
  }

  private settleKey({ service, key, ran, answer }: SettleKeyRequest): Record<string, never> {
    this.table.settle(service, key, ran ? (answer ?? UNKNOWN_ANSWER) : null);
    return {};
  }

  private reportClaims(request: ReportClaimsRequest): Record<string, never> {
    const now = this.clock.now();
    for (const claim of request.claims) this.table.mergeReported(fromReportedClaim(claim, now));
    this.completeness.recordReport(request.hostId, request.epoch);
    return {};
  }
}
