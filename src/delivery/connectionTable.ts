import { type Catalog, type Target } from '../catalog';
import { type Clock } from '../runtime';

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

  constructor(
    private readonly clock: Clock,
    private readonly observer: ConnectionObserver,
  ) {}

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
      );
      this.connectionsByTarget.set(key, connections);
    }
    return connections;
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
