import { type Clock } from '../runtime';

import { TargetConnection } from './targetConnection';

// A target closes idle connections after several seconds; an earlier close says that it is gone.
const SUDDEN_CLOSE_MS = 3000;

/** The kept connections of this host to one target. */
export class TargetConnections {
  private readonly idle: TargetConnection[] = [];

  private open = 0;

  constructor(
    readonly address: string,
    private readonly clock: Clock,
    /** The target closed a connection that was in use a moment ago. */
    private readonly onSuddenClose: () => void,
    private readonly onOpened: () => void,
  ) {}

  /** Connections that are open or opening. */
  count(): number {
    return this.open;
  }

  /** Whether a connection is open and free. */
  hasIdle(): boolean {
    return this.idle.length > 0;
  }

  /** The connection that was used last, or a new one. */
  take(): TargetConnection {
    for (let last = this.idle.pop(); last !== undefined; last = this.idle.pop()) {
      if (last.isOpen()) return last;
      this.open -= 1;
    }
    this.open += 1;
    this.onOpened();
    return new TargetConnection(this.address, this.clock, (connection, close) => {
      const index = this.idle.indexOf(connection);
      if (index >= 0) {
        this.idle.splice(index, 1);
        this.open -= 1;
      }
      const isSudden = this.clock.now() - connection.usedAt < SUDDEN_CLOSE_MS;
      if (close === 'remote' && isSudden) this.onSuddenClose();
    });
  }

  /** Takes back a connection after its request; one that is closed is dropped. */
  giveBack(connection: TargetConnection, mayKeep: boolean): void {
    if (connection.isOpen() && mayKeep) {
      this.idle.push(connection);
      return;
    }
    this.open -= 1;
    if (connection.isOpen()) connection.close();
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    for (const connection of this.idle.splice(0)) {
      this.open -= 1;
      connection.close();
    }
  }
}
