import { type ChildProcess, type ChildProcessWithoutNullStreams, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { freePort } from '../../standins';

import { type TestPlatform } from './testPlatform';

/** Arguments of Node.js with which deploy/system.toml starts the balancer. */
export const DEPLOYED_FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=2'];
/** Program of the balancer. */
export const MAIN = join(__dirname, '..', '..', 'dist', 'platform', 'main.js');
const BYTES_PER_KILOBYTE = 1024;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/** A balancer in a process of its own, with its settings file, for a test. */
export class BalancerProcess {
  child: ChildProcess | null = null;

  output = '';

  settings: Record<string, string> = {};

  /** Arguments of Node.js: its options and the program. */
  command: readonly string[] = [MAIN];

  private readonly folder = mkdtempSync(join(tmpdir(), 'balancer-'));

  readonly settingsFile = join(this.folder, 'settings');

  environment: Record<string, string> = { LIMPETKNOT_NODE_FILE: this.settingsFile };

  constructor(private readonly platform: TestPlatform) {}

  /** Chooses free ports on `ip` and settings that fit the stand-ins of the platform. */
  async prepare(ip = '127.0.0.1', source?: string): Promise<void> {
    this.platform.callerPort = await freePort();
    this.platform.readinessPort = await freePort();
    this.settings = {
      'host-id': 'host-1',
      zone: 'a',
      zones: 'a',
      'caller-address': `${ip}:${this.platform.callerPort}`,
      'readiness-address': `${ip}:${this.platform.readinessPort}`,
      'control-address': `${ip}:${await freePort()}`,
      'exchange-port': String(await freePort()),
      'stop-grace-s': '4',
      'settings-check-ms': '100',
      source: source ?? (await this.platform.store.listen()),
    };
  }

  /** Text of the settings file, with the marks of its begin and end. */
  markedSettings(): string {
    return `# begin of settings\n${this.plainSettings()}# end of settings\n`;
  }

  /** Writes the settings file. */
  writeSettings(text = this.plainSettings()): void {
    writeFileSync(this.settingsFile, text);
  }

  private plainSettings(): string {
    return Object.entries(this.settings)
      .map(([name, value]) => `${name}=${value}\n`)
      .join('');
  }

  /**
   * Starts the process, or one with other arguments of Node.js, with a limit of descriptors and without
   * reading its output.
   */
  spawn(argumentList = this.command, descriptorLimit = 4096): ChildProcessWithoutNullStreams {
    const command = `ulimit -n ${descriptorLimit}; exec "$0" "$@"`;
    const child = spawn('sh', ['-c', command, process.execPath, ...argumentList], {
      env: { PATH: process.env.PATH, ...this.environment },
    });
    this.child = child;
    return child;
  }

  /** Starts the process, or one with other arguments of Node.js; resolves to its exit code. */
  launch(argumentList = this.command, descriptorLimit = 4096): Promise<number | null> {
    const child = this.spawn(argumentList, descriptorLimit);
    const appendOutput = (chunk: Buffer) => {
      this.output += chunk.toString('utf8');
    };
    child.stdout.on('data', appendOutput);
    child.stderr.on('data', appendOutput);
    return new Promise((resolve) => {
      // With all of its output received.
      child.on('close', (code) => resolve(code));
    });
  }

  /** Events of the log so far that have `number`. */
  logged(number: number): readonly Record<string, unknown>[] {
    return this.records().filter(({ event }) => event === number);
  }

  /** The last line of the log. */
  lastRecord(): Record<string, unknown> | undefined {
    return this.records().at(-1);
  }

  private records(): readonly Record<string, unknown>[] {
    // The last line may be incomplete.
    const lines = this.output
      .split('\n')
      .slice(0, -1)
      .filter((line) => line.startsWith('{'));
    return lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  /** Waits until the process reports that it is ready. */
  async untilReady(): Promise<void> {
    for (let attempt = 0; attempt < 300; attempt += 1) {
      const status = await this.platform.readiness().catch(() => 0);
      if (status === 200) return;
      await this.platform.sleep(20);
    }
    throw new Error(`not ready: ${this.output}`);
  }

  /** Resident memory of the process, in bytes. */
  residentBytes(): number {
    const status = readFileSync(`/proc/${this.child!.pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+)/.exec(status)![1]) * BYTES_PER_KILOBYTE;
  }

  /**
   * Time for which the event loop was ready to run and got no processor, in milliseconds; 0 where the
   * kernel does not tell, or once the process has ended.
   */
  heldUpMs(): number {
    try {
      const [, waited] = readFileSync(`/proc/${this.child!.pid}/schedstat`, 'utf8').split(' ');
      return Number(waited) / NANOSECONDS_PER_MILLISECOND;
    } catch {
      return 0;
    }
  }

  /** Ends the process and removes its files. */
  close(): void {
    this.child?.kill('SIGKILL');
    rmSync(this.folder, { recursive: true });
  }
}
