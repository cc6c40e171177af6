import { type Clock } from '../../src/runtime';

// Idle timeout of a connection to a target that announces none, less the margin before it.
const IDLE_TIMEOUT_MS = 2500;

/** Idle connections of a modelled host to the targets, reused last in, first out. */
export class ModelConnections {
  /** Connections that were opened for a call. */
  opened = 0;

  private readonly idleUntil = new Map<string, number[]>();

  constructor(
    private readonly clock: Clock,
    private readonly idleMs = IDLE_TIMEOUT_MS,
  ) {}

  /** Whether there is an idle connection to the target. */
  hasIdle(target: string): boolean {
    return this.open(target).length > 0;
  }

  /** Takes an idle connection to the target, or opens one. */
  take(target: string): void {
    if (this.open(target).pop() === undefined) this.opened += 1;
  }

  /** Returns a connection after its call. */
  release(target: string): void {
    this.open(target).push(this.clock.now() + this.idleMs);
  }

  private open(target: string): number[] {
    const open = (this.idleUntil.get(target) ?? []).filter((until) => until > this.clock.now());
    this.idleUntil.set(target, open);
    return open;
  }
}
