import { type CatalogRecord } from '../catalog';

/** State of the configuration in the source at some moment of a call. */
export interface Confirmation {
  /** Revision of the source at that moment. */
  readonly asOf: number;
  /** Records of the configuration that are newer than the known one, or the present one; often none. */
  readonly records: readonly CatalogRecord[];
  /** Highest revision of the changes since the one that was asked for, of any key; 0 if none are known. */
  readonly newestChange: number;
}
