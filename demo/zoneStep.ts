import { type DemoSystem } from './demoSystem';

// The guarantee: the last new call is sent to the zone at most 3 s after the order is accepted.
const DRAIN_TIME_LIMIT_MS = 3000;

/** Takes one availability zone out of service and back; counts the calls it received meanwhile. */
export class ZoneStep {
  private acceptedAt = Number.POSITIVE_INFINITY;

  private backAt = Number.POSITIVE_INFINITY;

  constructor(
    private readonly system: DemoSystem,
    readonly zone: string,
    private readonly report: (line: string) => void,
  ) {}

  async takeOut(): Promise<void> {
    const { fleet, host } = this.system.gateways[0]!;
    this.report(`taking ${this.zone} out of service by an order at ${host.id}`);
    const order = { kind: 'zone-out', id: 'demo-out', zone: this.zone, force: false } as const;
    const answer = await fleet.submit(order);
    if (answer.ok) this.acceptedAt = performance.now();
    this.report(
      answer.ok
        ? `order accepted in epoch ${answer.val.epoch}`
        : `order rejected: ${answer.val.detail}`,
    );
  }

  async bringBack(): Promise<void> {
    if (this.acceptedAt === Number.POSITIVE_INFINITY) return;
    this.report(`bringing ${this.zone} back`);
    this.backAt = performance.now();
    const { fleet } = this.system.gateways[0]!;
    const answer = await fleet.submit({ kind: 'zone-back', id: 'demo-back', zone: this.zone });
    this.report(answer.ok ? 'order accepted' : `order rejected: ${answer.val.detail}`);
  }

  get wasAccepted(): boolean {
    return this.acceptedAt !== Number.POSITIVE_INFINITY;
  }

  /** Number of calls that reached the zone while it should have received none. */
  lateCalls(): number {
    const from = this.acceptedAt + DRAIN_TIME_LIMIT_MS;
    return this.system
      .targetsIn(this.zone)
      .flatMap(({ runs }) => runs)
      .filter(({ startedAt }) => startedAt > from && startedAt < this.backAt).length;
  }
}
