import { type HandoverSource, type ReleasedState } from '../fleet';
import { type Router } from '../routing';

/** Describes released targets as routing knows them; the router is made after the fleet. */
export class RouterHandover implements HandoverSource {
  private router: Router | null = null;

  /** Answers from `router` from now on. */
  follow(router: Router): void {
    this.router = router;
  }

  /** Null before there is a router, since no call was sent then. */
  describe(targetId: string): ReleasedState | null {
    return this.router?.describeTarget(targetId) ?? null;
  }
}
