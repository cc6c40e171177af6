import { type BalancerFault, type BalancerFaultContext } from './balancerFault';
import { HOST_ADDRESSES, holdAddress } from './holdAddress';
import { pickHost, withClaimedHosts } from './pickHosts';
import { type SoakHost } from './soakHost';

const MAX_PAUSE_MS = 2500;
const MAX_FREEZE_MS = 3000;
// Longer than the grace of the processes before, which hold the addresses so long.
const MIN_HOLD_MS = 5500;
const HOLD_RANGE_MS = 2000;
const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

async function killAndStart(context: BalancerFaultContext, host: SoakHost): Promise<void> {
  const { random, sleep } = context;
  for (let count = 1 + random.integer(3); count > 0; count -= 1) {
    const pauseMs = random.next() < 0.5 ? 0 : random.integer(MAX_PAUSE_MS);
    const runMs = random.integer(1500);
    context.note(`${host.name}, started after ${pauseMs} ms`);
    await host.kill();
    await sleep(pauseMs);
    host.start();
    if (count > 1) await sleep(runMs);
  }
}

const killOne: BalancerFault = (context) =>
  withClaimedHosts(context, 1, (host) => killAndStart(context, host));

const killMany: BalancerFault = (context) => {
  const { hosts, random } = context;
  return withClaimedHosts(context, 2 + random.integer(hosts.length - 1), (host) =>
    killAndStart(context, host),
  );
};

async function sendSeries(context: BalancerFaultContext, host: SoakHost): Promise<void> {
  const { random, signalAfterMs, sleep } = context;
  const { life } = host;
  if (life === null) return;
  for (let count = random.integer(5); count > 0; count -= 1) {
    const signal = STOP_SIGNALS[random.integer(STOP_SIGNALS.length)]!;
    await sleep(random.next() < 0.5 ? random.integer(30) : random.integer(1000));
    if (life.takesSignals(signalAfterMs)) life.signal(signal);
  }
}

async function untilSignalsReach(context: BalancerFaultContext, host: SoakHost): Promise<void> {
  while (
    host.life !== null &&
    !host.life.hasEnded &&
    !host.life.takesSignals(context.signalAfterMs)
  )
    await context.sleep(10);
}

const stop: BalancerFault = (context) =>
  withClaimedHosts(context, 1 + context.random.integer(2), async (host) => {
    const pauseMs = context.random.integer(300);
    context.note(`${host.name}, started ${pauseMs} ms after its end`);
    await untilSignalsReach(context, host);
    await Promise.all([host.stop(), sendSeries(context, host)]);
    await context.sleep(pauseMs);
    host.start();
  });

const startBesideStop: BalancerFault = (context) =>
  withClaimedHosts(context, 1, async (host) => {
    const pauseMs = context.random.integer(MAX_PAUSE_MS);
    context.note(`${host.name}, started ${pauseMs} ms after SIGTERM`);
    await untilSignalsReach(context, host);
    if (host.life?.isServing() !== true) return;
    const endObstacle = host.beginObstacle();
    const stopped = host.stop();
    await context.sleep(pauseMs);
    host.startAnother();
    await stopped;
    endObstacle();
  });

const addressHeld: BalancerFault = (context) =>
  withClaimedHosts(context, 1, async (host) => {
    const { random, sleep } = context;
    const name = HOST_ADDRESSES[random.integer(HOST_ADDRESSES.length)]!;
    const holdMs = MIN_HOLD_MS + random.integer(HOLD_RANGE_MS);
    context.note(`${host.name}, ${name} for ${holdMs} ms`);
    await host.kill();
    const endObstacle = host.beginObstacle();
    const release = await holdAddress(host.balancer.settings, name);
    const endHold = name === 'caller-address' ? host.history.begin('held') : null;
    host.start();
    await sleep(holdMs);
    release();
    endHold?.();
    endObstacle();
  });

const freeze: BalancerFault = async (context) => {
  const { random, sleep } = context;
  const host = pickHost(context);
  for (let count = 1 + random.integer(3); count > 0; count -= 1) {
    const freezeMs = random.integer(MAX_FREEZE_MS);
    context.note(`${host.name} for ${freezeMs} ms`);
    const endObstacle = host.beginObstacle();
    await host.life?.freeze(freezeMs);
    endObstacle();
    await sleep(random.integer(500));
  }
};

const hangUpSeries: BalancerFault = async (context) => {
  const { random, signalAfterMs, sleep } = context;
  const host = pickHost(context);
  const count = 1 + random.integer(20);
  context.note(`${host.name}, ${count} times`);
  for (let sent = 0; sent < count; sent += 1) {
    if (host.life?.takesSignals(signalAfterMs)) host.life.signal('SIGHUP');
    await sleep(random.integer(60));
  }
};

const hangUpAfterStart: BalancerFault = (context) =>
  withClaimedHosts(context, 1, async (host) => {
    context.note(host.name);
    await host.kill();
    host.start();
    await untilSignalsReach(context, host);
    for (let count = 1 + context.random.integer(10); count > 0; count -= 1) {
      if (host.life?.takesSignals(context.signalAfterMs)) host.life.signal('SIGHUP');
      await context.sleep(context.random.integer(50));
    }
  });

/** Faults of the processes of hosts, by name. */
export const PROCESS_FAULTS: Readonly<Record<string, BalancerFault>> = {
  'kill one': killOne,
  'kill many': killMany,
  stop,
  'start beside a stop': startBesideStop,
  'address held': addressHeld,
  freeze,
  'SIGHUP series': hangUpSeries,
  'SIGHUP after start': hangUpAfterStart,
};
