/** Thrown when an invariant of this module is violated, which is a bug in this program. */
export class InvariantError extends Error {
  constructor(rule: string) {
    super(`invariant violated: ${rule}`);
    this.name = 'InvariantError';
  }
}
