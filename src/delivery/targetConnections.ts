import { type Clock } from '../runtime';

import { TargetConnection } from './targetConnection';

// A target closes idle connections after several seconds; an earlier close indicates that the target
// is gone.
const UNEXPECTED_CLOSE_MS = 3000;

/** Connection pool of this host for one target. */
export class TargetConnections {
  private readonly idleConnections: TargetConnection[] = [];

  private openCount = 0;

  constructor(
    readonly address: string,
    private readonly clock: Clock,
    /** The target closed an idle connection soon after its last use. */
    private readonly onUnexpectedClose: () => void,
    private readonly onOpened: () => void,
  ) {}

  /** Connections that are open or opening. */
  count(): number {
    return this.openCount;
  }

  /** Whether the pool holds an idle connection. */
  hasIdle(): boolean {
    return this.idleConnections.length > 0;
  }

  /** Returns the most recently used idle connection, or a new one. */
  acquire(): TargetConnection {
    for (
      let last = this.idleConnections.pop();
      last !== undefined;
      last = this.idleConnections.pop()
    ) {
      if (last.isOpen()) return last;
      this.openCount -= 1;
    }
    this.openCount += 1;
    this.onOpened();
    return new TargetConnection(this.address, this.clock, (connection, origin) => {
      const index = this.idleConnections.indexOf(connection);
      if (index >= 0) {
        this.idleConnections.splice(index, 1);
        this.openCount -= 1;
      }
      const isUnexpected = this.clock.now() - connection.lastUsedAt < UNEXPECTED_CLOSE_MS;
      if (origin === 'remote' && isUnexpected) this.onUnexpectedClose();
    });
  }

  /** Returns a connection to the pool after its request, or closes it. */
  release(connection: TargetConnection, canReuse: boolean): void {
    if (connection.isOpen() && canReuse) {
      this.idleConnections.push(connection);
      return;
    }
    this.openCount -= 1;
    if (connection.isOpen()) connection.close();
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    for (const connection of this.idleConnections.splice(0)) {
      this.openCount -= 1;
      connection.close();
    }
  }
}
