import { type Configuration } from './configuration';
import { type Target } from './target';

/** One published fact. */
export type CatalogFact =
  | { readonly kind: 'configuration'; readonly configuration: Configuration }
  | { readonly kind: 'target'; readonly target: Target }
  | { readonly kind: 'zoneOut'; readonly zone: string };
