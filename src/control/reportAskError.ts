import { type AskError } from './askFirst';
import { type ControlIo } from './controlIo';
import { EXIT } from './exitCode';

/** Prints why no gateway answered and returns the exit code. */
export function reportAskError(io: ControlIo, error: AskError): number {
  for (const detail of error.details) io.err(`${detail}\n`);
  if (error.refusal !== null) return EXIT.refused;
  io.err('no gateway could be reached\n');
  return EXIT.unreachable;
}
