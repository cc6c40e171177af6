import { type SectionName } from './schema';

/** A row as read from the file, before it is validated against the schema of its section. */
export interface RawRow {
  readonly section: SectionName;
  /** Line number in the file, starting at 1. */
  readonly row: number;
  readonly cells: Readonly<Record<string, string>>;
}
