import { type Catalog, type Target } from '../catalog';
import { type Clock } from '../runtime';

import { ConnectionCount } from './connectionCount';
import { type ConnectionLimits } from './connectionLimits';
import { TargetConnections } from './targetConnections';

/** Observes the connections to all targets. */
export interface ConnectionObserver {
  onUnexpectedClose(target: string): void;
  onOpened(): void;
}

function keyOf(target: Target): string {
  return `${target.id} ${target.address} ${target.startedAt}`;
}

/** Connection pools by target; a restarted target gets a new pool. */
export class ConnectionTable {
  private readonly connectionsByTarget = new Map<string, TargetConnections>();

  private readonly count = new ConnectionCount();

  constructor(
    private readonly clock: Clock,
    private readonly observer: ConnectionObserver,
    private readonly limits: ConnectionLimits,
  ) {}

  /** Whether enough connections are unused that a hedge takes none from another call. */
  mayHedge(): boolean {
    return this.count.inUse < this.limits.inUseForHedges;
  }

  /** The connection pool of a target, created on first use. */
  of(target: Target): TargetConnections {
    const key = keyOf(target);
    let connections = this.connectionsByTarget.get(key);
    if (connections === undefined) {
      connections = new TargetConnections(
        target.address,
        this.clock,
        () => this.observer.onUnexpectedClose(target.id),
        () => this.observer.onOpened(),
        this.count,
        () => this.makeRoom(),
      );
      this.connectionsByTarget.set(key, connections);
    }
    return connections;
  }

  // Of all targets, the connection that has been idle for longest gives way to a new one.
  private makeRoom(): boolean {
    if (this.count.open < this.limits.open) return true;
    let longestIdle: TargetConnections | null = null;
    for (const connections of this.connectionsByTarget.values())
      if (connections.idleSince() < (longestIdle?.idleSince() ?? Infinity))
        longestIdle = connections;
    longestIdle?.closeLongestIdle();
    return longestIdle !== null;
  }

  /** Closes the idle connections of targets that were removed or restarted. */
  applyCatalog(catalog: Catalog): void {
    const present = new Set([...catalog.targets.values()].map(keyOf));
    for (const [key, connections] of this.connectionsByTarget) {
      if (present.has(key)) continue;
      connections.closeIdle();
      this.connectionsByTarget.delete(key);
    }
  }

  /** Closes the idle connections of all targets. */
  close(): void {
    for (const connections of this.connectionsByTarget.values()) connections.closeIdle();
    this.connectionsByTarget.clear();
  }
}
