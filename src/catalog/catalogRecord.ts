import { type CatalogFact } from './catalogFact';

/** A fact under its key, with the revision at which it was last written or deleted. */
export interface CatalogRecord {
  readonly key: string;
  readonly revision: number;
  /** Null when the key was deleted, or when what it holds could not be read. */
  readonly fact: CatalogFact | null;
}
