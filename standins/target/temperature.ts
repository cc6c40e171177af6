/** Whether a target is cold, and the identity of its current start. */
export class Temperature {
  private start = 1;

  private coldUntil = 0;

  constructor(private readonly id: string) {}

  /** Identity that changes with each start, as sent in Limpetknot-Target-Instance. */
  get instance(): string {
    return `${this.id}-${this.start}`;
  }

  /** Begins a cold period without a change of identity. */
  cool(coldMs: number): void {
    this.coldUntil = performance.now() + coldMs;
  }

  /** Begins a cold period as after a restart. */
  restart(coldMs: number): void {
    this.start += 1;
    this.cool(coldMs);
  }

  isCold(): boolean {
    return performance.now() < this.coldUntil;
  }
}
