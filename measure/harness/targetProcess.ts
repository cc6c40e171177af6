import { join } from 'node:path';

import { request } from 'undici';

import { type TargetSettings, type TargetTruth } from '../../standins';
import { type TargetProcessPorts } from '../../standins/target/main';

import { ManagedProcess } from './managedProcess';

const TARGET_SCRIPT = join(__dirname, '..', '..', 'standins', 'target', 'main.js');

/** A process that hosts target stand-ins, driven through its control port. */
export class TargetProcess {
  private constructor(
    readonly process: ManagedProcess,
    private readonly ports: TargetProcessPorts,
  ) {}

  static async start(
    ids: readonly string[],
    settings: Partial<TargetSettings>,
    seed: number,
  ): Promise<TargetProcess> {
    const flags = ['--targets', ids.join(','), '--settings', JSON.stringify(settings)];
    const child = await ManagedProcess.start(
      TARGET_SCRIPT,
      [...flags, '--seed', String(seed)],
      '"control"',
    );
    return new TargetProcess(child, JSON.parse(child.readyLine) as TargetProcessPorts);
  }

  portOf(id: string): number {
    return this.ports.targets[id]!;
  }

  async configure(id: string, changes: Partial<TargetSettings>): Promise<void> {
    await this.post(`/targets/${id}/settings`, JSON.stringify(changes));
  }

  async trigger(id: string, action: 'cold' | 'crash'): Promise<void> {
    await this.post(`/targets/${id}/${action}`, '');
  }

  async truth(): Promise<readonly TargetTruth[]> {
    const answer = await request(`http://127.0.0.1:${this.ports.control}/truth`);
    return (await answer.body.json()) as TargetTruth[];
  }

  private async post(path: string, body: string): Promise<void> {
    const url = `http://127.0.0.1:${this.ports.control}${path}`;
    const answer = await request(url, { method: 'POST', body });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) throw new Error(`target control: ${answer.statusCode} ${text}`);
  }
}
