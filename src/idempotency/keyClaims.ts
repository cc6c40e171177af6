import { type Fleet, type FleetView } from '../fleet';
import { type PeerTransport } from '../peer';
import { type Clock } from '../runtime';

import { ClaimClient } from './claimClient';
import { ClaimReporter } from './claimReporter';
import { KeyHome } from './keyHome';
import { KeyTable } from './keyTable';

/** Dependencies of `KeyClaims`. */
export interface KeyClaimsParts {
  readonly hostId: string;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly transport: Pick<PeerTransport, 'call' | 'handle'>;
}

/** Idempotency keys on one host, both as the home of keys and as the entry of keyed calls. */
export class KeyClaims {
  readonly client: ClaimClient;

  private readonly home: KeyHome;

  private readonly reporter: ClaimReporter;

  private readonly unsubscribe: () => void;

  constructor(parts: KeyClaimsParts) {
    const { hostId, fleet, clock, transport } = parts;
    const homeTable = new KeyTable(clock);
    const ownTable = new KeyTable(clock);
    this.home = new KeyHome(fleet, clock, homeTable, hostId);
    this.home.registerHandlers(transport);
    this.reporter = new ClaimReporter(hostId, clock, transport, [homeTable, ownTable]);
    this.client = new ClaimClient(hostId, fleet, clock, transport, this.home, ownTable);
    this.unsubscribe = fleet.onChange((view) => this.applyView(view));
    const view = fleet.view();
    if (view !== null) this.applyView(view);
  }

  /** Stops reporting claims to other hosts. */
  close(): void {
    this.unsubscribe();
    this.reporter.stop();
  }

  private applyView(view: FleetView): void {
    this.home.applyView(view);
    void this.reporter.applyView(view);
  }
}
