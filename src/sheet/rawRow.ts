import { type SectionName } from './schema';

/** A row as read from the file, before it is checked against the schema of its section. */
export interface RawRow {
  readonly section: SectionName;
  /** Line of the file, from 1. */
  readonly row: number;
  readonly cells: Readonly<Record<string, string>>;
}
