import { type CallerLimits } from './callerLimits';
import { type Route } from './route';
import { type Service } from './service';
import { type Tenant } from './tenant';

/** Configuration that operators publish as a whole; a higher version replaces a lower one. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Null when callers need no keys. */
  readonly tenants: readonly Tenant[] | null;
}
