import { type TestFleet } from '../../measure/harness/testFleet';
import { type Random } from '../../src/runtime';

/** What a fault of the soak run may act on. */
export interface FaultContext {
  readonly fleet: TestFleet;
  readonly random: Random;
  /** Ids of all targets. */
  readonly targets: readonly string[];
  /** Makes the ids of orders unique. */
  readonly faultNumber: number;
}

/** A fault that began; `end` takes it back. */
export interface StartedFault {
  readonly subject: string;
  end(): Promise<void>;
}

/** Starts one kind of fault on a subject drawn from the context. */
export type SoakFault = (context: FaultContext) => Promise<StartedFault>;
