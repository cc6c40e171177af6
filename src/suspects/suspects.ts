import { type Fleet } from '../fleet';
import { type EventLog } from '../logging';
import { type PeerTransport } from '../peer';
import { type Clock, waitUntil } from '../runtime';

import { type Death } from './death';
import { DeathWatch } from './deathWatch';
import { SUSPECT_EVENTS } from './events';
import { type CallIdentity } from './fingerprint';
import { type Suspicion, SuspectTable } from './suspectTable';

const REPORT_TRIES = 20;
const RETRY_INTERVAL_MS = 250;

/** What the search for crashing calls needs of the gateway. */
export interface SuspectsParts {
  readonly hostId: string;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly transport: Pick<PeerTransport, 'call' | 'handle'> | null;
}

/** Finds calls that crash targets, and shares what it finds with the hosts of the region. */
export class Suspects {
  /** Learns what attempts show about targets. */
  readonly watch: DeathWatch;

  private readonly table: SuspectTable;

  constructor(private readonly parts: SuspectsParts) {
    this.table = new SuspectTable(parts.clock, ({ callId, ...death }) =>
      parts.events.emit(SUSPECT_EVENTS.callRefused, { ...death, callId }),
    );
    this.watch = new DeathWatch(parts.clock, (death) => this.announce(death));
    parts.transport?.handle('reportDeath', (death) => {
      this.table.add(death);
      return {};
    });
  }

  /** True when there are no suspects, so that no call needs a check. */
  isEmpty(): boolean {
    return this.table.isEmpty();
  }

  /** What is known of a call; null when no target died during it. */
  check(call: CallIdentity): Suspicion | null {
    return this.table.check(call);
  }

  private announce(death: Death): void {
    const { hostId, fleet, events } = this.parts;
    events.emit(SUSPECT_EVENTS.targetDied, { ...death });
    this.table.add(death);
    const hosts = fleet.view()?.sheet.hosts.keys() ?? [];
    for (const host of hosts) if (host !== hostId) void this.report(host, death);
  }

  private async report(host: string, death: Death): Promise<void> {
    const { transport, clock } = this.parts;
    for (let attempt = 0; transport !== null && attempt < REPORT_TRIES; attempt += 1) {
      if ((await transport.call(host, 'reportDeath', { ...death })).ok) return;
      await waitUntil(clock, clock.now() + RETRY_INTERVAL_MS);
    }
  }
}
