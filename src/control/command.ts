import { type ControlContext } from './controlContext';

/** A command of limpetknotctl; its name is its key in `COMMANDS`. */
export interface Command {
  /** Placeholder of the only argument; empty when the command takes none. */
  readonly argument: string;
  readonly takesForce: boolean;
  readonly description: string;
  /** Runs the command and returns the exit code. */
  readonly run: (context: ControlContext, argument: string) => Promise<number>;
}
