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

  /**
   * Returns a connection that has not carried a call with this id: the most recently used idle one,
   * or a new one.
   */
  acquire(callId: string): TargetConnection {
    const connection = this.takeIdle(callId) ?? this.open();
    connection.carriedCalls.add(callId);
    return connection;
  }

  private takeIdle(callId: string): TargetConnection | null {
    for (let index = this.idleConnections.length - 1; index >= 0; index -= 1) {
      const connection = this.idleConnections[index]!;
      if (!connection.isOpen()) {
        this.idleConnections.splice(index, 1);
        this.openCount -= 1;
      } else if (connection.carriedCalls.mayCarry(callId)) {
        this.idleConnections.splice(index, 1);
        return connection;
      }
    }
    return null;
  }

  private open(): TargetConnection {
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
    if (connection.isOpen() && canReuse && !connection.carriedCalls.isFull()) {
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
