import { type HeartbeatSession, type PeerMethod } from '../../src/peer';
import { type Clock, type ManualClock, type Timer } from '../../src/runtime';

type Handler = (request: never) => unknown;

/** A simulated process; while paused, it defers its messages and timers until it resumes. */
export class SimProcess implements Clock {
  readonly handlers = new Map<PeerMethod, Handler>();

  readonly links = new Map<string, HeartbeatSession>();

  peers: readonly string[] = [];

  dead = false;

  private deferredActions: (() => void)[] | null = null;

  constructor(
    readonly hostId: string,
    readonly incarnation: string,
    readonly clock: ManualClock,
  ) {}

  now(): number {
    return this.clock.now();
  }

  setTimer(at: number, run: () => void): Timer {
    return this.clock.setTimer(at, () => this.perform(run));
  }

  perform(action: () => void): void {
    if (this.dead) return;
    if (this.deferredActions === null) action();
    else this.deferredActions.push(action);
  }

  get paused(): boolean {
    return this.deferredActions !== null;
  }

  pause(): void {
    this.deferredActions ??= [];
  }

  resume(): void {
    const actions = this.deferredActions ?? [];
    this.deferredActions = null;
    for (const action of actions) this.perform(action);
  }
}
