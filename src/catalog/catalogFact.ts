import { type Configuration } from './configuration';
import { type Target } from './target';

/** One published item: the configuration, a target or a zone that is out of service. */
export type CatalogFact =
  | { readonly kind: 'configuration'; readonly configuration: Configuration }
  | { readonly kind: 'target'; readonly target: Target }
  | { readonly kind: 'zoneOut'; readonly zone: string };
