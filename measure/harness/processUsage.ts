import { readFile } from 'node:fs/promises';

// Clock tick of /proc/PID/stat on Linux (USER_HZ).
const TICK_MS = 10;
const USER_TIME_FIELD = 11;
const RESIDENT_PAGES_FIELD = 21;
const PAGE_BYTES = 4096;

/** Snapshot of the processor time and resident memory of a process, from /proc/PID/stat. */
export class ProcessUsage {
  constructor(
    readonly processorMs: number,
    readonly residentBytes: number,
  ) {}

  static async of(pid: number): Promise<ProcessUsage> {
    const text = await readFile(`/proc/${pid}/stat`, 'utf8');
    // Skips the command name, which may contain spaces.
    const fields = text
      .slice(text.lastIndexOf(')') + 2)
      .split(' ')
      .map(Number);
    return new ProcessUsage(
      (fields[USER_TIME_FIELD]! + fields[USER_TIME_FIELD + 1]!) * TICK_MS,
      fields[RESIDENT_PAGES_FIELD]! * PAGE_BYTES,
    );
  }
}
