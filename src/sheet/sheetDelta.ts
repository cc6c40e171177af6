import { type SectionName } from './schema';

/** Rows of one section that only one of two sheets has, in canonical form. */
export interface SectionDelta {
  readonly section: SectionName;
  readonly removed: readonly string[];
  readonly added: readonly string[];
}

/** What turns one sheet into another. */
export interface SheetDelta {
  readonly baseFingerprint: string;
  readonly wantedFingerprint: string;
  /** Only sections that differ. */
  readonly sections: readonly SectionDelta[];
}
