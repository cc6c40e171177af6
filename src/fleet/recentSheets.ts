import { type Sheet } from '../sheet';

// A host that was away for a few changes still gets a delta.
const KEPT_SHEETS = 8;

/** The last sheets, by fingerprint. */
export class RecentSheets {
  private readonly sheets = new Map<string, Sheet>();

  get(fingerprint: string): Sheet | null {
    return this.sheets.get(fingerprint) ?? null;
  }

  /** Keeps a sheet as the newest one; the oldest is dropped when there are too many. */
  add(sheet: Sheet): void {
    this.sheets.delete(sheet.fingerprint);
    this.sheets.set(sheet.fingerprint, sheet);
    if (this.sheets.size > KEPT_SHEETS) this.sheets.delete(this.sheets.keys().next().value!);
  }

  /** The sheet that was added last; null when there is none. */
  newest(): Sheet | null {
    return [...this.sheets.values()].at(-1) ?? null;
  }
}
