import bunyan from 'bunyan';
import { Err, Ok } from 'ts-results';

import { type InheritedState, ReplicatedFleet, type SheetSource } from '../../src/fleet';
import { EventLog } from '../../src/logging';
import { SeededRandom } from '../../src/runtime';
import { parseSheet, type Sheet } from '../../src/sheet';
import { sheetText } from '../../standins';

import { SimNetwork } from './simNetwork';
import { SimProcess } from './simProcess';

const STEP_MS = 4;
const TIME_LIMIT_MS = 1000;

const events = new EventLog(bunyan.createLogger({ name: 'test', streams: [] }));

interface SimCall {
  readonly target: string;
  readonly hostId: string;
  readonly endsAt: number;
}

interface SimHost {
  readonly process: SimProcess;
  readonly fleet: ReplicatedFleet;
  epoch: number;
}

/** A sheet of hosts `host-1` to `host-N` spread over three zones, with two targets per zone. */
export function simSheet(hosts: number, version = 1): Sheet {
  const zones = ['zone-1', 'zone-2', 'zone-3'];
  const sheet = parseSheet(
    sheetText({
      version,
      zones,
      hosts: Array.from({ length: hosts }, (_, index) => ({
        id: `host-${index + 1}`,
        zone: zones[index % 3]!,
        callerPort: 1000 + index,
        relayPort: 2000 + index,
        peerPort: 3000 + index,
        operatorPort: 4000 + index,
      })),
      services: [
        {
          name: 'service-1',
          timeLimitMs: TIME_LIMIT_MS,
          targets: Array.from({ length: 6 }, (_, index) => ({
            id: `target-${index + 1}`,
            zone: zones[index % 3]!,
            port: 5000 + index,
            slots: 2,
          })),
        },
      ],
    }),
  );
  return sheet.unwrap();
}

/** Simulated hosts and network that send calls; checks the guarantees at each step. */
export class SimFleet {
  readonly network: SimNetwork;

  readonly hosts = new Map<string, SimHost>();

  /** Contents of committed records, by epoch. */
  readonly chosen = new Map<number, string>();

  calls: SimCall[] = [];

  callsMade = 0;

  /** Zones taken out of service, with the time the order was accepted. */
  readonly zonesOutSince = new Map<string, number>();

  private incarnations = 0;

  /** State inherited with the targets of each host's latest view, by host and target. */
  private readonly inherited = new Map<string, InheritedState | null>();

  constructor(
    readonly seed: number,
    readonly sheet: Sheet,
  ) {
    this.network = new SimNetwork(new SeededRandom(seed));
  }

  startAll(): void {
    for (const hostId of this.sheet.hosts.keys()) this.start(hostId);
  }

  /** Starts a host without memory; kills a previous process of the same id. */
  start(hostId: string, sheet = this.sheet): void {
    this.incarnations += 1;
    const previous = this.hosts.get(hostId);
    if (previous !== undefined) this.kill(hostId);
    const process = new SimProcess(hostId, `run-${this.incarnations}`, this.network.clock);
    this.network.processes.set(hostId, process);
    const fleet = new ReplicatedFleet({
      hostId,
      zone: sheet.hosts.get(hostId)!.zone,
      incarnation: process.incarnation,
      startSheet: sheet,
      transport: this.network.transport(process),
      sheets: this.sheets(process),
      handover: { describe: (target) => this.describe(hostId, target) },
      clock: process,
      random: new SeededRandom(this.seed * 1000 + this.incarnations),
      events,
    });
    this.hosts.set(hostId, { process, fleet, epoch: 0 });
    fleet.onChange((view) => {
      for (const [target, owned] of view.owned) {
        this.inherited.set(`${hostId} ${target}`, owned.inherited);
      }
    });
    fleet.start();
  }

  kill(hostId: string): void {
    const host = this.hosts.get(hostId)!;
    host.fleet.close();
    host.process.dead = true;
  }

  fleet(hostId: string): ReplicatedFleet {
    return this.hosts.get(hostId)!.fleet;
  }

  process(hostId: string): SimProcess {
    return this.hosts.get(hostId)!.process;
  }

  /** The larger of the committed and the accepted epoch of a host. */
  heldEpoch(hostId: string): number {
    return this.fleet(hostId).status().epoch;
  }

  now(): number {
    return this.network.clock.now();
  }

  /** Advances the clock in small steps; lets pending callbacks run and checks after each step. */
  async advance(milliseconds: number, eachStep: () => void = () => {}): Promise<void> {
    const until = this.now() + milliseconds;
    while (this.now() < until) {
      this.network.clock.advanceBy(Math.min(STEP_MS, until - this.now()));
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      eachStep();
      this.check();
    }
  }

  /** Advances the clock until the promise settles. */
  async during<Value>(promise: Promise<Value>): Promise<Value> {
    let settled = false;
    const markSettled = () => {
      settled = true;
    };
    promise.then(markSettled, markSettled);
    while (!settled) await this.advance(STEP_MS);
    return promise;
  }

  /** Lets each host send a call to every target it may use, within the limit of the target. */
  sendCalls(): void {
    for (const [hostId, { process, fleet }] of this.hosts) {
      if (process.dead || process.paused || !fleet.isReady()) continue;
      for (const owned of fleet.view()!.owned.values()) {
        const { inherited, inService, target, usableFrom } = owned;
        if (!inService || usableFrom > this.now()) continue;
        const reserved =
          inherited !== null && inherited.reservedUntil > this.now() ? inherited.callsInFlight : 0;
        const own = this.running(hostId, target.target).length;
        if (own + reserved >= target.slots) continue;
        const endsAt = this.now() + 1 + this.network.random.integer(TIME_LIMIT_MS);
        this.calls.push({ target: target.target, hostId, endsAt });
        this.callsMade += 1;
      }
    }
  }

  private running(hostId: string, target: string): readonly SimCall[] {
    return this.calls.filter((call) => call.hostId === hostId && call.target === target);
  }

  private describe(hostId: string, target: string) {
    const calls = this.running(hostId, target);
    const inherited = this.inherited.get(`${hostId} ${target}`) ?? null;
    const reserved = inherited !== null && inherited.reservedUntil > this.now() ? inherited : null;
    return {
      callsInFlight: calls.length + (reserved?.callsInFlight ?? 0),
      lastDeadline: Math.max(reserved?.reservedUntil ?? 0, ...calls.map((call) => call.endsAt)),
      limit: 2,
      coldUntil: 0,
      instance: '',
    };
  }

  private sheets(process: SimProcess): SheetSource {
    const known = new Map<string, Sheet>();
    process.handlers.set('reportDeath', (fingerprint: string) => known.get(fingerprint));
    return {
      get: (fingerprint) => known.get(fingerprint) ?? null,
      add: (sheet) => known.set(sheet.fingerprint, sheet),
      obtain: async (fingerprint, fromHosts) => {
        const own = known.get(fingerprint);
        if (own !== undefined) return Ok(own);
        for (const host of fromHosts) {
          const reply = await this.network.call(process, host, (receiver) =>
            receiver.handlers.get('reportDeath')!(fingerprint as never),
          );
          if (reply.ok && reply.val !== undefined) {
            known.set(fingerprint, reply.val as Sheet);
            return Ok(reply.val as Sheet);
          }
        }
        return Err({ kind: 'not-found', detail: fingerprint });
      },
    };
  }

  private check(): void {
    this.calls = this.calls.filter((call) => call.endsAt > this.now());
    for (const host of this.hosts.values()) this.checkEpoch(host);
    this.checkOwners();
    this.checkLimits();
    this.checkZones();
  }

  private checkEpoch(host: SimHost): void {
    const record = host.fleet.view()?.record;
    if (record === undefined || record.epoch === host.epoch) return;
    if (record.epoch < host.epoch) throw new Error(`seed ${this.seed}: epoch decreased`);
    host.epoch = record.epoch;
    const content = JSON.stringify({ ...record, ballot: null });
    const known = this.chosen.get(record.epoch) ?? content;
    this.chosen.set(record.epoch, known);
    if (known !== content) {
      throw new Error(`seed ${this.seed}: two records of an epoch: ${known} and ${content}`);
    }
  }

  private checkOwners(): void {
    const users = new Map<string, string>();
    for (const [hostId, { fleet, process }] of this.hosts) {
      if (process.dead || this.now() >= fleet.viewDeadline()) continue;
      for (const [target, { usableFrom }] of fleet.view()!.owned) {
        if (usableFrom > this.now()) continue;
        const other = users.get(target);
        if (other !== undefined) {
          throw new Error(`seed ${this.seed}: ${hostId} and ${other} may both use ${target}`);
        }
        users.set(target, hostId);
      }
    }
  }

  private checkLimits(): void {
    const counts = new Map<string, number>();
    for (const { target } of this.calls) {
      const count = (counts.get(target) ?? 0) + 1;
      counts.set(target, count);
      if (count > 2) throw new Error(`seed ${this.seed}: ${count} calls at ${target}`);
    }
  }

  private checkZones(): void {
    for (const [zone, since] of this.zonesOutSince) {
      if (this.now() <= since + 2000) continue;
      for (const [hostId, { fleet }] of this.hosts) {
        if (this.now() >= fleet.viewDeadline()) continue;
        if (!fleet.view()!.record.zonesOut.includes(zone)) {
          throw new Error(`seed ${this.seed}: ${hostId} still uses ${zone}`);
        }
      }
    }
  }
}
