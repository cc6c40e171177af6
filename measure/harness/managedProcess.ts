import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';

import { ProcessUsage } from './processUsage';

const START_TIMEOUT_MS = 15_000;
const STOP_TIMEOUT_MS = 10_000;

/** A Node.js child process of a measurement. */
export class ManagedProcess {
  private constructor(
    private readonly child: ChildProcess,
    /** Output line that reported readiness. */
    readonly readyLine: string,
    private readonly output: { lastLine: string },
  ) {}

  /** Starts a script and waits for an output line that contains `readyText`. */
  static async start(
    script: string,
    flags: readonly string[],
    readyText: string,
  ): Promise<ManagedProcess> {
    const child = spawn(process.execPath, [script, ...flags], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const lines = createInterface({ input: child.stdout });
    const output = { lastLine: '' };
    const line = await new Promise<string>((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`${script} did not become ready in time`)),
        START_TIMEOUT_MS,
      );
      child.once('exit', (code) => {
        clearTimeout(timer);
        reject(new Error(`${script} exited with ${code}: ${output.lastLine}`));
      });
      lines.on('line', (text) => {
        output.lastLine = text;
        if (!text.includes(readyText)) return;
        clearTimeout(timer);
        resolve(text);
      });
    }).catch((error: unknown) => {
      child.kill('SIGKILL');
      throw error;
    });
    return new ManagedProcess(child, line, output);
  }

  /** The last line of output so far, for error messages. */
  get lastLine(): string {
    return this.output.lastLine;
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  usage(): Promise<ProcessUsage> {
    return ProcessUsage.of(this.pid);
  }

  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Sends SIGTERM, then SIGKILL if the process does not exit in time; returns the exit code. */
  async stop(): Promise<number | null> {
    if (this.isRunning) {
      const exit = once(this.child, 'exit');
      this.child.kill('SIGCONT');
      this.child.kill('SIGTERM');
      const timer = setTimeout(() => this.child.kill('SIGKILL'), STOP_TIMEOUT_MS);
      await exit;
      clearTimeout(timer);
    }
    return this.child.exitCode;
  }
}
