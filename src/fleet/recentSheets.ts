import { type Sheet } from '../sheet';

// A host that missed a few changes can still receive a delta.
const MAX_SHEETS = 8;

/** Cache of the most recent sheets, by fingerprint. */
export class RecentSheets {
  private readonly sheets = new Map<string, Sheet>();

  get(fingerprint: string): Sheet | null {
    return this.sheets.get(fingerprint) ?? null;
  }

  /** Adds a sheet as the newest one; evicts the oldest above MAX_SHEETS. */
  add(sheet: Sheet): void {
    this.sheets.delete(sheet.fingerprint);
    this.sheets.set(sheet.fingerprint, sheet);
    if (this.sheets.size > MAX_SHEETS) this.sheets.delete(this.sheets.keys().next().value!);
  }

  /** The sheet that was added last; null when there is none. */
  newest(): Sheet | null {
    return [...this.sheets.values()].at(-1) ?? null;
  }
}
