import { type CallProtocol } from '../delivery';
import { type EventSink } from '../logging';
import { type Clock } from '../runtime';
import { type CatalogSource } from '../source';

/** What a balancer needs from the platform on which it runs. */
export interface BalancerAdapter {
  readonly protocol: CallProtocol;
  /** Opens the catalog source at an address `IP:port`. */
  openSource(address: string, clock: Clock, events: EventSink): CatalogSource;
}
