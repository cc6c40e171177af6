import { renameSync, rmSync, writeFileSync } from 'node:fs';

import { type BalancerFault, type BalancerFaultContext } from './balancerFault';
import { pickHost } from './pickHosts';
import { type SoakHost } from './soakHost';

const MAX_ABSENT_MS = 3500;
const MAX_CUT_MS = 100;

function writeByRename({ balancer }: SoakHost): void {
  const draft = `${balancer.settingsFile}.new`;
  writeFileSync(draft, balancer.markedSettings());
  renameSync(draft, balancer.settingsFile);
}

/** How the settings file is written. */
const WRITERS: readonly ((host: SoakHost, context: BalancerFaultContext) => Promise<void>)[] = [
  (host) => {
    host.balancer.writeSettings(host.balancer.markedSettings());
    return Promise.resolve();
  },
  (host) => {
    writeByRename(host);
    return Promise.resolve();
  },
  async (host, { random, sleep }) => {
    const text = host.balancer.markedSettings();
    const endObstacle = host.beginObstacle();
    writeFileSync(host.balancer.settingsFile, text.slice(0, random.integer(text.length)));
    await sleep(random.integer(MAX_CUT_MS));
    host.balancer.writeSettings(host.balancer.markedSettings());
    endObstacle();
  },
];

const rewritten: BalancerFault = async (context) => {
  const { fleet, random, signalAfterMs, sleep } = context;
  const host = pickHost(context);
  const count = 1 + random.integer(12);
  context.note(`${host.name}, ${count} times`);
  const addresses = fleet.balancers.map(({ settings }) => settings['control-address']!);
  for (let written = 0; written < count; written += 1) {
    host.balancer.settings.seeds = addresses
      .filter(() => random.next() < 3 / addresses.length)
      .slice(0, 3)
      .join(',');
    await WRITERS[random.integer(WRITERS.length)]!(host, context);
    if (random.next() < 0.5 && host.life?.takesSignals(signalAfterMs)) host.life.signal('SIGHUP');
    await sleep(random.integer(250));
  }
};

const absent: BalancerFault = async (context) => {
  const host = pickHost(context);
  const absentMs = context.random.integer(MAX_ABSENT_MS);
  context.note(`${host.name} for ${absentMs} ms`);
  const endObstacle = host.beginObstacle();
  rmSync(host.balancer.settingsFile, { force: true });
  await context.sleep(absentMs);
  writeByRename(host);
  endObstacle();
};

/** Faults of the settings files of hosts, by name. */
export const SETTINGS_FAULTS: Readonly<Record<string, BalancerFault>> = {
  'settings rewritten': rewritten,
  'settings absent': absent,
};
