import { request } from 'node:http';
import { type Writable } from 'node:stream';

import { type BalancerProcess } from '../../test/support/balancerProcess';

import { type FindingLog } from './findingLog';
import { HostHistory } from './hostHistory';
import { HostLife } from './hostLife';

// The platform starts a process that ended again after a short delay.
const RESTART_DELAY_MS = 200;
const READINESS_TIMEOUT_MS = 1000;

/** A host of a soak run: its processes one after the other, and what stands in their way. */
export class SoakHost {
  readonly history = new HostHistory();

  readonly name: string;

  /** The process that was started last. */
  life: HostLife | null = null;

  /** Whether a fault decides when processes of this host start and end. */
  isClaimed = false;

  /** Monotonic time at which the last obstacle to being ready went away; Infinity while one is there. */
  clearSince = performance.now();

  /** Why the last question for its readiness had no answer. */
  silence = '';

  private readonly lives: HostLife[] = [];

  private obstacles = 0;

  private isEnding = false;

  constructor(
    readonly balancer: BalancerProcess,
    private readonly graceMs: number,
    private readonly findings: FindingLog,
    private readonly copy: Writable | null,
  ) {
    this.name = balancer.settings['host-id']!;
  }

  /** Starts a process, unless one runs. */
  start(): void {
    if (this.life === null || this.life.hasEnded) this.startAnother();
  }

  /** Starts a process, even beside one that still stops. */
  startAnother(): void {
    if (this.isEnding) return;
    const { copy, findings, graceMs, history, name } = this;
    const child = this.balancer.spawn();
    const life = new HostLife({ host: name, child, graceMs, history, findings, copy });
    this.life = life;
    this.lives.push(life);
    void life.ended.then(() => this.restartAfter(life));
  }

  /** Kills the present process and waits until it is gone. */
  async kill(): Promise<void> {
    this.life?.kill();
    await this.life?.ended;
  }

  /** Stops the present process and waits until it is gone. */
  async stop(): Promise<void> {
    if (this.life !== null && !this.life.hasEnded) await this.life.stop();
  }

  /** Notes an obstacle to being ready; returns a function that notes its end. */
  beginObstacle(): () => void {
    this.obstacles += 1;
    this.clearSince = Infinity;
    return () => {
      this.obstacles -= 1;
      if (this.obstacles === 0) this.clearSince = performance.now();
    };
  }

  /** HTTP status of its readiness; null without an answer within a second. */
  readiness(): Promise<number | null> {
    const [host, port] = this.balancer.settings['readiness-address']!.split(':');
    return new Promise((resolve) => {
      const options = { host, port, path: '/readyz', agent: false, timeout: READINESS_TIMEOUT_MS };
      const asked = request(options, (response) => {
        response.resume();
        resolve(response.statusCode!);
      });
      asked.on('timeout', () => asked.destroy(new Error('no answer in time')));
      asked.on('error', ({ message }) => {
        this.silence = message;
        resolve(null);
      });
      asked.end();
    });
  }

  /** Starts no further process; ends the present one with SIGTERM. */
  async end(): Promise<void> {
    this.isEnding = true;
    await this.stop();
  }

  /** Kills its processes at once, for a run that ends early. */
  abandon(): void {
    this.isEnding = true;
    for (const life of this.lives) life.kill();
  }

  private async restartAfter(life: HostLife): Promise<void> {
    if (!life.hasEndedByItself) return;
    await new Promise((resolve) => {
      setTimeout(resolve, RESTART_DELAY_MS);
    });
    if (this.life === life) this.start();
  }
}
