import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';
import { type Clock, type Timer } from '../runtime';
import { type Target } from '../sheet';

import { type CallTraits } from './callTraits';
import { type PoolState } from './poolState';
import { type Slot } from './slot';

const NOTHING: ReadonlySet<string> = new Set();

interface OwnTarget {
  readonly target: Target;
  inFlight: number;
}

interface Waiter {
  readonly grant: (slot: Result<Slot, NotRun>) => void;
  readonly timer: Timer;
}

/** The targets of one service that this host owns, and the calls that wait for them. */
export class ServicePool {
  private targets: readonly OwnTarget[] = [];

  private readonly waiting: Waiter[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly viewIsCurrent: () => boolean,
  ) {}

  /** Takes over the list of owned targets; calls in flight at targets that stay are kept. */
  setTargets(targets: readonly Target[]): void {
    this.targets = targets.map((target) => {
      const known = this.targets.find((each) => each.target.target === target.target);
      return { target, inFlight: known?.inFlight ?? 0 };
    });
  }

  /** A slot of the least loaded target, at once or when one is free before the deadline. */
  acquire(call: CallTraits): Promise<Result<Slot, NotRun>> {
    const target = this.leastLoaded(call.avoid) ?? this.leastLoaded(NOTHING);
    if (target !== null) return Promise.resolve(Ok(this.take(target)));
    return new Promise((resolve) => {
      const waiter: Waiter = {
        grant: resolve,
        timer: this.clock.setTimer(call.deadline, () => {
          this.waiting.splice(this.waiting.indexOf(waiter), 1);
          resolve(Err(notRun('deadline', 'no slot was free before the deadline')));
        }),
      };
      this.waiting.push(waiter);
    });
  }

  /** Load of the pool. */
  state(): PoolState {
    return {
      limit: this.targets.reduce((sum, { target }) => sum + target.slots, 0),
      inFlight: this.targets.reduce((sum, { inFlight }) => sum + inFlight, 0),
      queued: this.waiting.length,
      medianMs: 0,
    };
  }

  private leastLoaded(avoid: ReadonlySet<string>): OwnTarget | null {
    let best: OwnTarget | null = null;
    for (const each of this.targets) {
      if (each.inFlight >= each.target.slots || avoid.has(each.target.target)) continue;
      if (best === null || each.inFlight < best.inFlight) best = each;
    }
    return best;
  }

  private take(own: OwnTarget): Slot {
    own.inFlight += 1;
    return {
      target: own.target,
      reason: 'least loaded',
      candidates: this.targets.length,
      mayLeave: () =>
        this.viewIsCurrent() ? Ok.EMPTY : Err(notRun('view-expired', 'this host is cut off')),
      answered: () => {},
      finish: () => {
        own.inFlight -= 1;
        this.grantNext();
      },
    };
  }

  private grantNext(): void {
    const target = this.leastLoaded(NOTHING);
    const waiter = target === null ? undefined : this.waiting.shift();
    if (target === null || waiter === undefined) return;
    waiter.timer.cancel();
    waiter.grant(Ok(this.take(target)));
  }
}
