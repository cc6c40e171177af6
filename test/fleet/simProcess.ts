import { type BeatLink, type PeerMethod } from '../../src/peer';
import { type Clock, type ManualClock, type Timer } from '../../src/runtime';

type Handler = (request: never) => unknown;

/** One process on the network; a paused one keeps its messages and timers until it resumes. */
export class SimProcess implements Clock {
  readonly handlers = new Map<PeerMethod, Handler>();

  readonly links = new Map<string, BeatLink>();

  peers: readonly string[] = [];

  dead = false;

  private held: (() => void)[] | null = null;

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
    if (this.held === null) action();
    else this.held.push(action);
  }

  get paused(): boolean {
    return this.held !== null;
  }

  pause(): void {
    this.held ??= [];
  }

  resume(): void {
    const actions = this.held ?? [];
    this.held = null;
    for (const action of actions) this.perform(action);
  }
}
