/** A pseudo-random number generator; passed as an argument so that runs are reproducible. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [0, `below`); `below` is at least 1. */
  integer(below: number): number;
}
