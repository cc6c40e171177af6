import { type Arrival } from '../../standins/server/serverStandin';
import { type KeptCall } from '../../test/support/keptCall';

import { type KeyLife } from './keyLife';
import { type SoakHost } from './soakHost';

/** A host as far as the checks need it. */
export type CheckedHost = Pick<SoakHost, 'name' | 'history'>;

/** An arrival at a server of a run. */
export interface ServerArrival extends Arrival {
  readonly server: string;
  readonly service: string;
}

/** What callers and servers have seen in a run. */
export interface CallRecords {
  readonly calls: readonly KeptCall[];
  readonly arrivals: readonly ServerArrival[];
  readonly hosts: readonly CheckedHost[];
  readonly keys: ReadonlyMap<string, KeyLife>;
}
