import { type FleetView } from '../fleet';
import { type PeerTransport, type ReportedClaim } from '../peer';
import { type Clock, rendezvousChoice, waitUntil } from '../runtime';

import { toReported } from './claimMessages';
import { type KeyClaim } from './keyClaim';
import { keyName, type KeyTable } from './keyTable';

// Below gRPC's limit of 4 MB for a message, with answers of up to 4 KB each.
const CLAIMS_PER_MESSAGE = 500;
const RETRY_INTERVAL_MS = 100;
// The epoch of all messages of a report but the last, which makes the report complete.
const PARTIAL_REPORT = 0;

/** Tells the new homes of keys, after each change of members, which claims this host knows. */
export class ClaimReporter {
  private epoch = 0;

  private stopped = false;

  constructor(
    private readonly hostId: string,
    private readonly clock: Clock,
    private readonly transport: Pick<PeerTransport, 'call'>,
    private readonly tables: readonly KeyTable[],
  ) {}

  /** Reports to all members of the view; an unreachable one is tried again until the next epoch. */
  async applyView(view: FleetView): Promise<void> {
    const { epoch, members } = view.record;
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    const others = members.filter((member) => member !== this.hostId);
    await Promise.all(others.map((member) => this.report(member, members, epoch)));
  }

  stop(): void {
    this.stopped = true;
  }

  private async report(member: string, members: readonly string[], epoch: number): Promise<void> {
    while (!this.stopped && this.epoch === epoch) {
      if (await this.sendAll(member, this.claimsFor(member, members), epoch)) return;
      await waitUntil(this.clock, this.clock.now() + RETRY_INTERVAL_MS);
    }
  }

  private claimsFor(member: string, members: readonly string[]): readonly KeyClaim[] {
    return this.tables
      .flatMap((table) => table.all())
      .filter((claim) => rendezvousChoice(keyName(claim.service, claim.key), members) === member);
  }

  private async sendAll(
    member: string,
    claims: readonly KeyClaim[],
    epoch: number,
  ): Promise<boolean> {
    const now = this.clock.now();
    const reported = claims.map((claim) => toReported(claim, now));
    for (let start = 0; start === 0 || start < reported.length; start += CLAIMS_PER_MESSAGE) {
      const last = start + CLAIMS_PER_MESSAGE >= reported.length;
      const part = reported.slice(start, start + CLAIMS_PER_MESSAGE);
      if (!(await this.send(member, part, last ? epoch : PARTIAL_REPORT))) return false;
    }
    return true;
  }

  private async send(member: string, claims: ReportedClaim[], epoch: number): Promise<boolean> {
    const request = { hostId: this.hostId, epoch, claims };
    return (await this.transport.call(member, 'reportClaims', request)).ok;
  }
}
