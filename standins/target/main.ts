import { type Server } from 'node:http';
import { parseArgs } from 'node:util';

import { serve } from '@hono/node-server';

import { controlApp } from './controlApp';
import { targetSettingsSchema } from './targetSettings';
import { TargetStandin } from './targetStandin';

/** First line on standard output, as JSON: ports of the control API and of each target. */
export interface TargetProcessPorts {
  readonly control: number;
  readonly targets: Readonly<Record<string, number>>;
}

const OPTIONS = {
  targets: { type: 'string' },
  settings: { type: 'string', default: '{}' },
  seed: { type: 'string', default: '1' },
  'control-port': { type: 'string', default: '0' },
} as const;

async function main(): Promise<void> {
  const { values } = parseArgs({ options: OPTIONS });
  const settings = targetSettingsSchema.parse(JSON.parse(values.settings));
  const targets = new Map<string, TargetStandin>();
  const ports: Record<string, number> = {};
  for (const [index, id] of (values.targets ?? '').split(',').entries()) {
    const target = new TargetStandin(id, Number(values.seed) + index);
    target.configure(settings);
    ports[id] = await target.start();
    targets.set(id, target);
  }
  const server = serve(
    {
      fetch: controlApp(targets).fetch,
      port: Number(values['control-port']),
      hostname: '127.0.0.1',
    },
    ({ port }) => process.stdout.write(`${JSON.stringify({ control: port, targets: ports })}\n`),
  );
  process.once('SIGTERM', () => {
    server.close();
    (server as Server).closeAllConnections();
    for (const target of targets.values()) void target.stop();
  });
}

void main();
