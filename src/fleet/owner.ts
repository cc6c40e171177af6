import { type Host, type Target } from '../sheet';

/** A host that owns targets of a service. */
export interface Owner {
  readonly host: Host;
  /** The owned targets of the service whose zones are in service. */
  readonly targets: readonly Target[];
  /** Sum of the targets' slots. */
  readonly slots: number;
}
