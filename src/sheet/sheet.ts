import {
  type Host,
  type Operation,
  type Priority,
  type Service,
  type Target,
  type Zone,
} from './schema';

/** A valid, immutable sheet, created by `parseSheet`. */
export interface Sheet {
  readonly version: number;
  /** Day for which the sheet was exported, YYYY-MM-DD. */
  readonly date: string;
  /** True when rain is forecast. */
  readonly rain: boolean;
  /** SHA-256 of the canonical text, in hexadecimal. */
  readonly fingerprint: string;
  /** Canonical text: sections in order, rows sorted, one line per row. */
  readonly text: string;
  readonly zones: ReadonlyMap<string, Zone>;
  readonly hosts: ReadonlyMap<string, Host>;
  readonly services: ReadonlyMap<string, Service>;
  readonly targets: ReadonlyMap<string, Target>;
  readonly operations: readonly Operation[];
  readonly priorities: ReadonlyMap<string, Priority>;
  /** Targets of each service, sorted by id. */
  readonly targetsOf: ReadonlyMap<string, readonly Target[]>;
}
