/** Contents of a generated sheet; all addresses are loopback addresses. */
export interface SheetParts {
  readonly version: number;
  readonly rain?: boolean;
  readonly zones: readonly string[];
  readonly hosts: readonly SheetHost[];
  readonly services: readonly SheetService[];
  /** Rows of the operations section. */
  readonly operations?: readonly string[];
}

/** A host of a generated sheet. */
export interface SheetHost {
  readonly id: string;
  readonly zone: string;
  readonly callerPort: number;
  readonly relayPort: number;
  readonly peerPort: number;
  readonly operatorPort: number;
}

/** A service of a generated sheet, with its targets. */
export interface SheetService {
  readonly name: string;
  readonly timeLimitMs?: number;
  readonly targets: readonly SheetTarget[];
}

/** A target of a generated sheet. */
export interface SheetTarget {
  readonly id: string;
  readonly zone: string;
  readonly port: number;
  readonly slots?: number;
  readonly coldLimit?: number;
  readonly coldMs?: number;
}

/** Formats a sheet for tests, the demo and measurements. */
export function sheetText(parts: SheetParts): string {
  const lines = [
    '[sheet]',
    'version,date,rain',
    `${parts.version},2026-12-04,${parts.rain ? 'yes' : 'no'}`,
    '[zones]',
    'zone,region',
    ...parts.zones.map((zone) => `${zone},region-1`),
    '[hosts]',
    'host,zone,address,caller_port,relay_port,peer_port,operator_port',
    ...parts.hosts.map(
      (host) =>
        `${host.id},${host.zone},127.0.0.1,${host.callerPort},${host.relayPort},${host.peerPort},${host.operatorPort}`,
    ),
    '[services]',
    'service,class,time_limit_ms,body_limit_kb,retry_percent,probes_per_second',
    ...parts.services.map(
      (service) => `${service.name},standard,${service.timeLimitMs ?? 2000},1024,10,0.5`,
    ),
    '[targets]',
    'target,service,zone,address,port,slots,connections,cold_limit,cold_ms',
    ...parts.services.flatMap((service) =>
      service.targets.map(
        (target) =>
          `${target.id},${service.name},${target.zone},127.0.0.1,${target.port},${target.slots ?? 6},260,${target.coldLimit ?? 1},${target.coldMs ?? 0}`,
      ),
    ),
    '[operations]',
    'service,method,path_prefix,class,idempotent',
    ...(parts.operations ?? []),
    '[priorities]',
    'class,rank,rain_rank,reserved_percent',
    'flood,1,0,30',
    'standard,1,1,0',
    'low,2,2,0',
  ];
  return `${lines.join('\n')}\n`;
}
