/** Whether a target is cold, and the identity of its current start. */
export class Temperature {
  private startCount = 1;

  private coldUntil = 0;

  constructor(private readonly id: string) {}

  /** Instance identity, new with each start; sent in Limpetknot-Target-Instance. */
  get instance(): string {
    return `${this.id}-${this.startCount}`;
  }

  /** Starts a cold period with the same identity. */
  startColdPeriod(coldMs: number): void {
    this.coldUntil = performance.now() + coldMs;
  }

  /** Starts a cold period with a new identity, as a restart does. */
  restart(coldMs: number): void {
    this.startCount += 1;
    this.startColdPeriod(coldMs);
  }

  isCold(): boolean {
    return performance.now() < this.coldUntil;
  }
}
