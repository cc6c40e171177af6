// A returned token is worth nothing to the owner once its bucket has been full in between.
const RETENTION_MS = 1000;
// Bounds the field of a question.
const MAX_RETURNED = 60;

/** Granted calls that did not run, until the next question to the owner. */
export class ReturnedCalls {
  private readonly deadlines = new Map<number, readonly number[]>();

  /** Records a call of the tenant with this key. */
  add(tenant: number, now: number): void {
    const recent = (this.deadlines.get(tenant) ?? []).filter((deadline) => deadline > now);
    this.deadlines.set(tenant, [...recent, now + RETENTION_MS].slice(-MAX_RETURNED));
  }

  /** Removes and counts the calls of a tenant. */
  takeAll(tenant: number, now: number): number {
    const deadlines = this.deadlines.get(tenant) ?? [];
    this.deadlines.delete(tenant);
    return deadlines.filter((deadline) => deadline > now).length;
  }
}
