import { request } from 'node:http';

import { platformCallProtocol } from '../../platform/callProtocol';
import { storeOpener } from '../../platform/storeOpener';
import { Balancer, type BalancerParts } from '../../src/balancer';
import { Lifecycle } from '../../src/lifecycle';
import { type EventDefinition, type EventFields } from '../../src/logging';
import { PrometheusSink } from '../../src/metrics';
import { SeededRandom, SYSTEM_TIMES } from '../../src/runtime';
import { BALANCER_SETTINGS, readSettings } from '../../src/settings';
import { freePort } from '../../standins';
import { type ServerOptions, ServerStandin } from '../../standins/server/serverStandin';
import {
  configurationValue,
  type PublishedEntry,
  type PublishedRoute,
  type PublishedTenant,
  serverValue,
} from '../../standins/store/publishedValues';
import { StoreStandin } from '../../standins/store/storeStandin';

import { RunningClock } from './runningClock';

/** Reply that a caller received. */
export interface CallerReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  readonly elapsedMs: number;
}

/** An event logged by the balancer. */
export interface LoggedEvent {
  readonly number: number;
  readonly fields: EventFields;
}

/** Runs a store stand-in, server stand-ins and one balancer on loopback for a test. */
export class TestPlatform {
  readonly store = new StoreStandin();

  readonly servers = new Map<string, ServerStandin>();

  readonly events: LoggedEvent[] = [];

  readonly lifecycle = new Lifecycle();

  /** The clock of the balancer, of `sleep` and of the times of replies. */
  readonly clock = new RunningClock();

  balancer: Balancer | null = null;

  callerPort = 0;

  readinessPort = 0;

  controlPort = 0;

  exchangePort = 0;

  private version = 1;

  private callsSent = 0;

  /** Starts a server of a service and registers it in the store. */
  async addServer(
    service: string,
    options: ServerOptions,
    entry: PublishedEntry = {},
  ): Promise<ServerStandin> {
    const server = new ServerStandin(options);
    const address = await server.listen();
    this.servers.set(options.id, server);
    this.register(service, options, address, entry);
    return server;
  }

  /** Writes a server's entry to the store. */
  register(
    service: string,
    options: ServerOptions,
    address: string,
    entry: PublishedEntry = {},
  ): void {
    this.store.put(`servers/${options.id}`, serverValue(service, options, address, entry));
  }

  /** Publishes a configuration with the given routes, limits and, if any, tenants. */
  configure(
    routes: readonly PublishedRoute[],
    limits: Readonly<Record<string, number>> = {},
    tenants: readonly PublishedTenant[] | null = null,
  ): void {
    this.version += 3;
    this.store.put('op/config', configurationValue(this.version, routes, limits, tenants));
  }

  /** Starts the balancer and waits until it is ready, unless told not to. */
  async start(
    options: {
      waitReady?: boolean;
      seed?: number;
      isFirstStart?: boolean;
      /** Parts to use instead of the usual ones. */
      parts?: Partial<BalancerParts>;
    } = {},
  ): Promise<void> {
    const source = await this.store.listen();
    this.callerPort = await freePort();
    this.readinessPort = await freePort();
    this.controlPort = await freePort();
    this.exchangePort = await freePort();
    const settings = readSettings(BALANCER_SETTINGS, {
      arguments: [],
      environment: {},
      file: {
        'host-id': 'host-1',
        zone: 'a',
        zones: 'a,b',
        'caller-address': `127.0.0.1:${this.callerPort}`,
        'readiness-address': `127.0.0.1:${this.readinessPort}`,
        'control-address': `127.0.0.1:${this.controlPort}`,
        'exchange-port': String(this.exchangePort),
        source,
        'first-start': String(options.isFirstStart ?? true),
        'retry-ratio': '0.2',
        'retry-slack': '400',
        'retry-window-s': '0.5',
        'stop-grace-s': '3',
      },
    });
    this.balancer = await Balancer.start({
      settings: settings.unwrap().values,
      currentSettings: () => settings.unwrap().values,
      adapter: {
        protocol: platformCallProtocol,
        openSource: storeOpener(),
      },
      clock: this.clock,
      systemTimes: SYSTEM_TIMES,
      random: new SeededRandom(options.seed ?? 1),
      events: {
        emit: (event: EventDefinition, fields: EventFields = {}) =>
          this.events.push({ number: event.number, fields }),
      },
      metrics: new PrometheusSink(),
      lifecycle: this.lifecycle,
      droppedLines: () => 0,
      ...options.parts,
    });
    if (options.waitReady === false) return;
    await this.until(() => this.balancer!.isReady());
    // By then the first health checks have been answered.
    await this.sleep(150);
  }

  /** Stops the balancer, the store and the servers. */
  async stop(): Promise<void> {
    await this.lifecycle.close();
    this.store.close();
    for (const server of this.servers.values()) server.crash();
    this.clock.close();
  }

  /** Waits until `condition` holds; throws after about 5 seconds. */
  async until(condition: () => boolean): Promise<void> {
    for (let attempt = 0; attempt < 500; attempt += 1) {
      if (condition()) return;
      await this.sleep(10);
    }
    throw new Error('condition was not met in time');
  }

  sleep(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(this.clock.now() + milliseconds, resolve);
    });
  }

  /** Sends one call over a connection of its own. */
  call(
    method: string,
    path: string,
    options: {
      body?: string;
      id?: string;
      timeLeft?: number;
      hostName?: string;
      /** Sent as `Authorization: Bearer KEY`. */
      key?: string;
      /** Further headers. */
      headers?: Readonly<Record<string, string | readonly string[]>>;
      /** The caller closes its connection when this resolves. */
      leave?: Promise<void>;
    } = {},
  ): Promise<CallerReply> {
    this.callsSent += 1;
    const startedAt = this.clock.now();
    return new Promise((resolve, reject) => {
      const sent = request(
        {
          ...{ host: '127.0.0.1', port: this.callerPort, method, path, agent: false },
          headers: {
            host: options.hostName ?? 'test.example',
            'request-id': options.id ?? `call-${this.callsSent}`,
            'deadline-ms': String(options.timeLeft ?? 2000),
            ...(options.key === undefined ? {} : { authorization: `Bearer ${options.key}` }),
            ...options.headers,
            ...(options.body === undefined ? {} : { 'content-length': options.body.length }),
          },
        },
        (response) => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.on('error', reject);
          response.on('end', () =>
            resolve({
              status: response.statusCode!,
              headers: response.headers,
              body: Buffer.concat(chunks).toString('utf8'),
              elapsedMs: this.clock.now() - startedAt,
            }),
          );
        },
      );
      sent.on('error', reject);
      void options.leave?.then(() => sent.destroy());
      sent.end(options.body);
    });
  }

  /** Returns the HTTP status of the readiness path. */
  readiness(): Promise<number> {
    return new Promise((resolve, reject) => {
      request(
        { host: '127.0.0.1', port: this.readinessPort, path: '/readyz', agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode!);
        },
      )
        .on('error', reject)
        .end();
    });
  }
}
