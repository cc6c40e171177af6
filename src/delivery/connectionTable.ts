import { type Catalog, type Target } from '../catalog';
import { type Clock } from '../runtime';

import { TargetConnections } from './targetConnections';

/** What happens to connections. */
export interface ConnectionObserver {
  onSuddenClose(target: string): void;
  onOpened(): void;
}

function keyOf(target: Target): string {
  return `${target.id} ${target.address} ${target.startedAt}`;
}

/** Kept connections by target; a target that starts again begins with none. */
export class ConnectionTable {
  private readonly table = new Map<string, TargetConnections>();

  constructor(
    private readonly clock: Clock,
    private readonly observer: ConnectionObserver,
  ) {}

  /** The connections to a target. */
  of(target: Target): TargetConnections {
    const key = keyOf(target);
    let held = this.table.get(key);
    if (held === undefined) {
      held = new TargetConnections(
        target.address,
        this.clock,
        () => this.observer.onSuddenClose(target.id),
        () => this.observer.onOpened(),
      );
      this.table.set(key, held);
    }
    return held;
  }

  /** Drops the idle connections of targets that are gone or started again. */
  follow(catalog: Catalog): void {
    const present = new Set([...catalog.targets.values()].map(keyOf));
    for (const [key, connections] of this.table) {
      if (present.has(key)) continue;
      connections.closeIdle();
      this.table.delete(key);
    }
  }

  /** Closes all idle connections. */
  close(): void {
    for (const connections of this.table.values()) connections.closeIdle();
    this.table.clear();
  }
}
