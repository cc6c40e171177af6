import { type Tenant } from '../catalog';

/** What targets are told of the caller of a call; null where the configuration has no tenants. */
export type CallerIdentity = { readonly tenant: Tenant | null } | null;
