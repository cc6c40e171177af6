import { type Fleet } from '../fleet';
import { type EventLog } from '../logging';
import { type PeerTransport } from '../peer';
import { type Clock, waitUntil } from '../runtime';

import { type TargetCrash } from './targetCrash';
import { CrashDetector } from './crashDetector';
import { SUSPECT_EVENTS } from './events';
import { type CallIdentity } from './fingerprint';
import { type Suspicion, SuspectTable } from './suspectTable';

const MAX_REPORT_ATTEMPTS = 20;
const RETRY_INTERVAL_MS = 250;

/** Dependencies of the detection of crash-inducing calls. */
export interface SuspectsParts {
  readonly hostId: string;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly transport: Pick<PeerTransport, 'call' | 'handle'> | null;
}

/** Detects calls that crash targets, and shares each crash with the other hosts of the region. */
export class Suspects {
  /** Receives what attempts observe about targets. */
  readonly crashDetector: CrashDetector;

  private readonly table: SuspectTable;

  constructor(private readonly parts: SuspectsParts) {
    this.table = new SuspectTable(parts.clock, ({ callId, ...crash }) =>
      parts.events.emit(SUSPECT_EVENTS.callRefused, { ...crash, callId }),
    );
    this.crashDetector = new CrashDetector(parts.clock, (crash) => this.recordCrash(crash));
    parts.transport?.handle('reportDeath', (crash) => {
      this.table.add(crash);
      return {};
    });
  }

  /** Whether there are no suspects, so that no call needs a check. */
  isEmpty(): boolean {
    return this.table.isEmpty();
  }

  /** The first crash of each call that is refused. */
  refusedCalls(): readonly TargetCrash[] {
    return this.table.refusedCalls();
  }

  /** The suspicion against a call; null if no target crashed during it. */
  check(call: CallIdentity): Suspicion | null {
    return this.table.check(call);
  }

  private recordCrash(crash: TargetCrash): void {
    const { hostId, fleet, events } = this.parts;
    events.emit(SUSPECT_EVENTS.targetDied, { ...crash });
    this.table.add(crash);
    const hosts = fleet.view()?.sheet.hosts.keys() ?? [];
    for (const host of hosts) if (host !== hostId) void this.reportToHost(host, crash);
  }

  private async reportToHost(host: string, crash: TargetCrash): Promise<void> {
    const { transport, clock } = this.parts;
    for (let attempt = 0; transport !== null && attempt < MAX_REPORT_ATTEMPTS; attempt += 1) {
      if ((await transport.call(host, 'reportDeath', { ...crash })).ok) return;
      await waitUntil(clock, clock.now() + RETRY_INTERVAL_MS);
    }
  }
}
