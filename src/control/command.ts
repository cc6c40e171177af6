import { type ControlContext } from './controlContext';

/** A command of limpetknotctl; its name is its key in the table of commands. */
export interface Command {
  /** Name of the one argument; empty when the command takes none. */
  readonly argument: string;
  readonly takesForce: boolean;
  readonly description: string;
  /** Runs the command and returns the exit code. */
  readonly run: (context: ControlContext, argument: string) => Promise<number>;
}
