import { performance } from 'node:perf_hooks';

import { type Clock, type Timer } from '../../src/runtime';

const TICK_MS = 5;
// Longer gaps between two readings are counted only as far as this process used processor time in them.
const MAX_GAP_MS = 10;
const MICROSECONDS_PER_MILLISECOND = 1000;

function usedProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/**
 * Time of the test process without the times for which the machine did not let it run. With it, time
 * limits and bounds mean the same on a busy machine. Time in which the process is busy itself counts.
 */
export class RunningClock implements Clock {
  private time = performance.now();

  private readAt = this.time;

  private processorMs = usedProcessorMs();

  /** Total time for which another process was held up; see `leaveOut`. */
  private readHeldUpMs = () => 0;

  private heldUpMs = 0;

  private readonly ticks = setInterval(() => this.now(), TICK_MS).unref();

  now(): number {
    const realTime = performance.now();
    const processorMs = usedProcessorMs();
    const heldUpMs = this.readHeldUpMs();
    const gapMs = realTime - this.readAt;
    const ownMs = Math.min(gapMs, Math.max(MAX_GAP_MS, processorMs - this.processorMs));
    const othersMs = Math.max(0, gapMs - Math.max(0, heldUpMs - this.heldUpMs));
    this.time += Math.min(ownMs, othersMs);
    this.readAt = realTime;
    this.heldUpMs = heldUpMs;
    this.processorMs = processorMs;
    return this.time;
  }

  setTimer(at: number, run: () => void): Timer {
    let handle: NodeJS.Timeout;
    const arm = () => {
      handle = setTimeout(
        () => {
          if (this.now() < at) arm();
          else run();
        },
        Math.max(0, at - this.now()),
      );
    };
    arm();
    return { cancel: () => clearTimeout(handle) };
  }

  /** Leaves out the times of another process as well; `readHeldUpMs` returns their total so far. */
  leaveOut(readHeldUpMs: () => number): void {
    this.now();
    this.readHeldUpMs = readHeldUpMs;
    this.heldUpMs = readHeldUpMs();
  }

  /** Stops the ticks, without which waiting does not count. */
  close(): void {
    clearInterval(this.ticks);
  }
}
