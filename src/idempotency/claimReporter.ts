import { type FleetView } from '../fleet';
import { type PeerTransport, type ReportedClaim } from '../peer';
import { type Clock, rendezvousChoice, waitUntil } from '../runtime';

import { toReportedClaim } from './claimMessages';
import { type KeyClaim } from './keyClaim';
import { keyName, type KeyTable } from './keyTable';

// Keeps a message below gRPC's limit of 4 MB, with answers of up to 4 KB each.
const MAX_CLAIMS_PER_MESSAGE = 500;
const RETRY_INTERVAL_MS = 100;
// Epoch of all messages of a report except the last, whose epoch completes the report.
const PARTIAL_REPORT_EPOCH = 0;

/** After each change of members, reports the claims that this host knows to their new homes. */
export class ClaimReporter {
  private epoch = 0;

  private isStopped = false;

  constructor(
    private readonly hostId: string,
    private readonly clock: Clock,
    private readonly transport: Pick<PeerTransport, 'call'>,
    private readonly tables: readonly KeyTable[],
  ) {}

  /** Reports to all members of the view; retries an unreachable one until the next epoch. */
  async applyView(view: FleetView): Promise<void> {
    const { epoch, members } = view.record;
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    const others = members.filter((member) => member !== this.hostId);
    await Promise.all(others.map((member) => this.report(member, members, epoch)));
  }

  stop(): void {
    this.isStopped = true;
  }

  private async report(member: string, members: readonly string[], epoch: number): Promise<void> {
    while (!this.isStopped && this.epoch === epoch) {
      if (await this.sendAll(member, this.claimsFor(member, members), epoch)) return;
      await waitUntil(this.clock, this.clock.now() + RETRY_INTERVAL_MS);
    }
  }

  private claimsFor(member: string, members: readonly string[]): readonly KeyClaim[] {
    return (
      this.tables
        .flatMap((table) => table.unexpiredClaims())
        // A claim that awaits its home runs no call. Reported as running, it would keep its new home from
        // granting it. If its old home has granted it meanwhile, that one reports it.
        .filter((claim) => claim.isGranted)
        .filter((claim) => rendezvousChoice(keyName(claim.service, claim.key), members) === member)
    );
  }

  private async sendAll(
    member: string,
    claims: readonly KeyClaim[],
    epoch: number,
  ): Promise<boolean> {
    const now = this.clock.now();
    const reported = claims.map((claim) => toReportedClaim(claim, now));
    for (let start = 0; start === 0 || start < reported.length; start += MAX_CLAIMS_PER_MESSAGE) {
      const isLast = start + MAX_CLAIMS_PER_MESSAGE >= reported.length;
      const batch = reported.slice(start, start + MAX_CLAIMS_PER_MESSAGE);
      if (!(await this.send(member, batch, isLast ? epoch : PARTIAL_REPORT_EPOCH))) return false;
    }
    return true;
  }

  private async send(member: string, claims: ReportedClaim[], epoch: number): Promise<boolean> {
    const request = { hostId: this.hostId, epoch, claims };
    return (await this.transport.call(member, 'reportClaims', request)).ok;
  }
}
