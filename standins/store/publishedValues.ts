import { type ServerOptions } from '../server/serverStandin';

/** A route of a configuration published in the store stand-in. */
export interface PublishedRoute {
  readonly prefix: string;
  readonly service: string;
  readonly isIdempotent: boolean;
  /** Type as written, in place of the one that follows from `isIdempotent`. */
  readonly type?: string;
  readonly timeLimitMs?: number;
  readonly objectiveMs?: number;
  readonly priority?: number;
  readonly mostAttempts?: number;
  /** Whether callers need no key. */
  readonly isPublic?: boolean;
  readonly parts?: readonly { service: string; weight: number }[];
}

/** A tenant of a configuration published in the store stand-in; omitted fields are not written. */
export interface PublishedTenant {
  readonly name: string;
  readonly keys?: readonly string[];
  readonly priority?: number;
  readonly callsPerSecond?: number;
  readonly burst?: number;
}

/** Status and metadata of a server's entry in the store; omitted fields get defaults. */
export interface PublishedEntry {
  readonly state?: string;
  readonly coldLeftMs?: number;
  readonly born?: number;
  readonly zone?: string;
}

/** Builds the value of a server's entry, as the platform's key-value store holds it. */
export function serverValue(
  service: string,
  options: ServerOptions,
  address: string,
  entry: PublishedEntry = {},
): unknown {
  return {
    address,
    born: entry.born ?? 1,
    info: { service, version: 'v1', zone: entry.zone ?? 'a', concurrency: options.slots ?? 6 },
    status: {
      state: entry.state ?? 'ready',
      sequence: 1,
      warmup_left_ms: entry.coldLeftMs ?? 0,
    },
  };
}

function tenantTable(tenants: readonly PublishedTenant[]): unknown {
  return {
    columns: ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
    rows: tenants.map(({ name, keys, priority, callsPerSecond, burst }) => [
      ...[name, keys ?? null, priority ?? null, callsPerSecond ?? null, burst ?? null],
    ]),
  };
}

/** Builds the value of a configuration, as the platform's key-value store holds it. */
export function configurationValue(
  version: number,
  routes: readonly PublishedRoute[],
  limits: Readonly<Record<string, number>> = {},
  tenants: readonly PublishedTenant[] | null = null,
): unknown {
  const services = [
    ...new Set(routes.flatMap((r) => r.parts?.map((part) => part.service) ?? [r.service])),
  ];
  return {
    version,
    routes: {
      columns: [
        ...['name', 'hostname', 'prefix', 'route_type', 'timeout_ms', 'target_latency_ms'],
        ...['priority', 'service', 'max_attempts', 'weighted_backends', 'public'],
      ],
      rows: routes.map((route) => [
        ...[`r${route.prefix}`, 'test.example', route.prefix],
        route.type ?? (route.isIdempotent ? 'idempotent' : 'non_idempotent'),
        ...[route.timeLimitMs ?? 1000, route.objectiveMs ?? 200, route.priority ?? 0],
        route.parts === undefined ? route.service : null,
        route.mostAttempts ?? 2,
        route.parts ?? null,
        route.isPublic ?? null,
      ]),
    },
    services: {
      columns: [
        ...['name', 'health_check_path', 'max_connections', 'protocol', 'tls'],
        ...['warmup_s', 'warmup_per_s'],
      ],
      rows: services.map((name) => [name, '/healthz', 100, 'h1', false, 3, 21]),
    },
    limits: {
      ...{ max_header_bytes: 16384, max_body_bytes: 1_000_000 },
      ...{ header_timeout_ms: 3000, idle_timeout_ms: 15000 },
      ...limits,
    },
    ...(tenants === null ? {} : { tenants: tenantTable(tenants) }),
  };
}
