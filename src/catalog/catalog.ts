import { type Configuration } from './configuration';
import { type RouteTable } from './routeTable';
import { type Service } from './service';
import { type Target } from './target';
import { type TenantTable } from './tenantTable';

/** Published state that routing and forwarding use; immutable and replaced as a whole. */
export interface Catalog {
  /** Revision up to which the catalog is complete. */
  readonly asOf: number;
  /** Null until a configuration was received. */
  readonly configuration: Configuration | null;
  readonly routes: RouteTable;
  /** Null when callers need no keys. */
  readonly tenants: TenantTable | null;
  readonly services: ReadonlyMap<string, Service>;
  readonly targets: ReadonlyMap<string, Target>;
  /** Targets by service, sorted by id. */
  readonly targetsByService: ReadonlyMap<string, readonly Target[]>;
  /** Shortest latency objective of the routes to each service, in milliseconds. */
  readonly objectiveMsByService: ReadonlyMap<string, number>;
  /** Zones whose targets get no new calls. */
  readonly zonesOut: ReadonlySet<string>;
}
