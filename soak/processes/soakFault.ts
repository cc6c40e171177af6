import { type TestFleet } from '../../measure/harness/testFleet';
import { type Random } from '../../src/runtime';

/** Objects that a fault of the soak run can act on. */
export interface FaultContext {
  readonly fleet: TestFleet;
  readonly random: Random;
  /** Ids of all targets. */
  readonly targets: readonly string[];
  /** Sequence number of the fault; makes the ids of orders unique. */
  readonly faultNumber: number;
}

/** An injected fault; `end` reverts it. */
export interface StartedFault {
  readonly subject: string;
  end(): Promise<void>;
}

/** Injects one kind of fault into a random subject of the context. */
export type SoakFault = (context: FaultContext) => Promise<StartedFault>;
