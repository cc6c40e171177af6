import { type CatalogFact } from './catalogFact';

/** The fact of a key, with the revision at which the key was last written or deleted. */
export interface CatalogRecord {
  readonly key: string;
  readonly revision: number;
  /** Null when the key was deleted or its value could not be parsed. */
  readonly fact: CatalogFact | null;
  /** What of the value was left out or is not used as written; known to the host that read it. */
  readonly remarks?: readonly string[];
}
