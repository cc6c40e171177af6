import { type Clock } from '../runtime';

import { type ConnectionCount } from './connectionCount';
import { TargetConnection } from './targetConnection';

// A target closes idle connections after several seconds; an earlier close indicates that the target
// is gone.
const UNEXPECTED_CLOSE_MS = 3000;

/** Connection pool of this host for one target. */
export class TargetConnections {
  private readonly idleConnections: TargetConnection[] = [];

  constructor(
    readonly address: string,
    private readonly clock: Clock,
    /** The target closed an idle connection soon after its last use. */
    private readonly onUnexpectedClose: () => void,
    private readonly onOpened: () => void,
    private readonly count: ConnectionCount,
    /** Makes room for another connection; returns false if there is none. */
    private readonly makeRoom: () => boolean,
  ) {}

  /** Whether the pool holds an idle connection. */
  hasIdle(): boolean {
    return this.idleConnections.length > 0;
  }

  /**
   * Returns a connection that has not carried a call with this id: the most recently used idle one,
   * or a new one; null if all connections of this host are in use.
   */
  acquire(callId: string): TargetConnection | null {
    const connection = this.takeIdle(callId) ?? this.tryOpen();
    if (connection === null) return null;
    connection.carriedCalls.add(callId);
    this.count.inUse += 1;
    return connection;
  }

  /** Monotonic time since which the first connection to be closed is idle; Infinity without one. */
  idleSince(): number {
    return this.idleConnections[0]?.lastUsedAt ?? Infinity;
  }

  /** Closes the connection that has been idle for longest. */
  closeLongestIdle(): void {
    const connection = this.idleConnections.shift();
    if (connection === undefined) return;
    this.count.open -= 1;
    connection.close();
  }

  private takeIdle(callId: string): TargetConnection | null {
    for (let index = this.idleConnections.length - 1; index >= 0; index -= 1) {
      const connection = this.idleConnections[index]!;
      if (!connection.isOpen()) {
        this.idleConnections.splice(index, 1);
        this.count.open -= 1;
      } else if (connection.carriedCalls.mayCarry(callId)) {
        this.idleConnections.splice(index, 1);
        return connection;
      }
    }
    return null;
  }

  private tryOpen(): TargetConnection | null {
    if (!this.makeRoom()) return null;
    this.count.open += 1;
    this.onOpened();
    return new TargetConnection(this.address, this.clock, (connection, origin) => {
      const index = this.idleConnections.indexOf(connection);
      if (index >= 0) {
        this.idleConnections.splice(index, 1);
        this.count.open -= 1;
      }
      const isUnexpected = this.clock.now() - connection.lastUsedAt < UNEXPECTED_CLOSE_MS;
      if (origin === 'remote' && isUnexpected) this.onUnexpectedClose();
    });
  }

  /** Returns a connection to the pool after its request, or closes it. */
  release(connection: TargetConnection, canReuse: boolean): void {
    this.count.inUse -= 1;
    if (connection.isOpen() && canReuse && !connection.carriedCalls.isFull()) {
      this.idleConnections.push(connection);
      return;
    }
    this.count.open -= 1;
    if (connection.isOpen()) connection.close();
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    while (this.idleConnections.length > 0) this.closeLongestIdle();
  }
}
