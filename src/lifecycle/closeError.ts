/** A resource that failed to close. */
export class CloseError extends Error {
  constructor(
    readonly resource: string,
    cause: unknown,
  ) {
    super(`closing ${resource} failed: ${String(cause)}`, { cause });
    this.name = 'CloseError';
  }
}
