import { type Random } from '../../src/runtime';

import { type SoakFleet } from './soakFleet';
import { type SoakHost } from './soakHost';

/** What a fault of balancers can act on. */
export interface BalancerFaultContext {
  readonly fleet: SoakFleet;
  readonly hosts: readonly SoakHost[];
  readonly random: Random;
  /**
   * Age in milliseconds from which a process gets signals other than SIGKILL and SIGSTOP, if it has not
   * written anything before.
   */
  readonly signalAfterMs: number;
  /** Describes what the fault does. */
  readonly note: (text: string) => void;
  readonly sleep: (milliseconds: number) => Promise<void>;
}

/** A disruption; resolves when it is over. */
export type BalancerFault = (context: BalancerFaultContext) => Promise<void>;
