import { type FindingLog } from './findingLog';
import { type SoakHost } from './soakHost';

const PERIOD_MS = 250;

/** Checks that hosts become ready in time after a start or an obstacle, and stay ready. */
export class ReadinessWatch {
  /** Longest time from a start or the last obstacle until a process was ready, in milliseconds. */
  slowestMs = 0;

  private isEnding = false;

  /** For each host, the value of `clearSince` for which it was reported. */
  private readonly reported = new Map<SoakHost, number>();

  constructor(
    private readonly hosts: readonly SoakHost[],
    private readonly boundMs: number,
    private readonly findings: FindingLog,
  ) {}

  /** Runs until `end` is called. */
  async run(): Promise<void> {
    await Promise.all(
      this.hosts.map(async (host) => {
        while (!this.isEnding) {
          await this.check(host);
          await new Promise((resolve) => {
            setTimeout(resolve, PERIOD_MS);
          });
        }
      }),
    );
  }

  end(): void {
    this.isEnding = true;
  }

  private async check(host: SoakHost): Promise<void> {
    const { clearSince, life } = host;
    if (life === null || !life.isServing() || clearSince === Infinity) return;
    const status = await host.readiness();
    if (host.life !== life || !life.isServing() || host.clearSince !== clearSince) return;
    const since = Math.max(clearSince, life.startedAt);
    const waitedMs = performance.now() - since;
    if (status === 200) {
      if (!life.wasReady) this.slowestMs = Math.max(this.slowestMs, waitedMs);
      life.wasReady = true;
      return;
    }
    const isLate = waitedMs > this.boundMs;
    const isTakenBack = life.wasReady && status !== null;
    if ((!isLate && !isTakenBack) || this.reported.get(host) === since) return;
    this.reported.set(host, since);
    const answer = status ?? `without an answer (${host.silence})`;
    const text = `${host.name}: readiness ${answer} after ${Math.round(waitedMs)} ms without obstacle`;
    const before = life.wasReady ? ', was ready before' : '';
    this.findings.add('READY', `${text}${before}; ${life.lastLines()}`);
  }
}
