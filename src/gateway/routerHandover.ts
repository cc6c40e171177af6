import { type HandoverSource, type ReleasedState } from '../fleet';
import { type Router } from '../routing';

/** Describes released targets from routing state; the router is created after the fleet. */
export class RouterHandover implements HandoverSource {
  private router: Router | null = null;

  /** Sets the router whose state is described. */
  setRouter(router: Router): void {
    this.router = router;
  }

  /** Returns null before a router is set, since no call has been sent by then. */
  describe(targetId: string): ReleasedState | null {
    return this.router?.describeTarget(targetId) ?? null;
  }
}
