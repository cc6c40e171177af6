import { type SectionName } from './schema';

/** Rows of one section that occur in only one of two sheets, in canonical form. */
export interface SectionDelta {
  readonly section: SectionName;
  readonly removed: readonly string[];
  readonly added: readonly string[];
}

/** Changes that turn one sheet into another. */
export interface SheetDelta {
  readonly baseFingerprint: string;
  readonly wantedFingerprint: string;
  /** Only sections that differ. */
  readonly sections: readonly SectionDelta[];
}
