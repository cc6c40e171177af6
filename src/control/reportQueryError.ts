import { type QueryError } from './queryFirstGateway';
import { type ControlIo } from './controlIo';
import { EXIT } from './exitCode';

/** Prints why the query failed and returns the exit code. */
export function reportQueryError(io: ControlIo, error: QueryError): number {
  for (const detail of error.details) io.err(`${detail}\n`);
  if (error.refusal !== null) return EXIT.refused;
  io.err('no gateway could be reached\n');
  return EXIT.unreachable;
}
