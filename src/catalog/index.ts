export { type Route } from './route';
export { type RoutePart } from './routePart';
export { type Service } from './service';
export { type Target, type TargetState } from './target';
export { type Tenant } from './tenant';
export { TenantTable } from './tenantTable';
export { digestKey } from './digestKey';
export { type CallerLimits } from './callerLimits';
export { type Configuration } from './configuration';
export { type CatalogFact } from './catalogFact';
export { type CatalogRecord } from './catalogRecord';
export { type CatalogChanges } from './catalogChanges';
export { type Catalog } from './catalog';
export { coldLeftSchema, slotsSchema, targetAddressSchema, targetNameSchema } from './targetSchema';
export { RouteTable } from './routeTable';
export { buildCatalog } from './buildCatalog';
export { Ledger } from './ledger';
export { encodeChanges, decodeChanges, readChanges } from './changesCodec';
export {
  ERA_LIMIT,
  eraOf,
  joinRevision,
  MAX_SOURCE_REVISION,
  sourceRevisionOf,
} from './eraRevision';
