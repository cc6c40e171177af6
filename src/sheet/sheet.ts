import {
  type Host,
  type Operation,
  type Priority,
  type Service,
  type Target,
  type Zone,
} from './schema';

/** A valid sheet; immutable, made by `parseSheet`. */
export interface Sheet {
  readonly version: number;
  /** Day of the sheet, YYYY-MM-DD. */
  readonly date: string;
  /** True when rain is forecast. */
  readonly rain: boolean;
  /** SHA-256 of the canonical text, in hexadecimal. */
  readonly fingerprint: string;
  /** The canonical text: sections in order, rows sorted, one line each. */
  readonly text: string;
  readonly zones: ReadonlyMap<string, Zone>;
  readonly hosts: ReadonlyMap<string, Host>;
  readonly services: ReadonlyMap<string, Service>;
  readonly targets: ReadonlyMap<string, Target>;
  readonly operations: readonly Operation[];
  readonly priorities: ReadonlyMap<string, Priority>;
  /** Targets of each service, in the order of their ids. */
  readonly targetsOf: ReadonlyMap<string, readonly Target[]>;
}
