/** A rule of this module was broken by the program itself. */
export class InvariantError extends Error {
  constructor(rule: string) {
    super(`invariant violated: ${rule}`);
    this.name = 'InvariantError';
  }
}
