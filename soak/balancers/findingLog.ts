/** A broken rule, or a process that ended by itself. */
export interface Finding {
  readonly rule: string;
  readonly text: string;
}

/** Collects what a run finds, and the faults that it plays, with the time since its start. */
export class FindingLog {
  readonly findings: Finding[] = [];

  readonly timeline = [`begun at ${new Date().toISOString()}`];

  private readonly startedAt = performance.now();

  /** Adds a finding. */
  add(rule: string, text: string): void {
    this.findings.push({ rule, text: `${this.secondsOf(performance.now())} s: ${text}` });
    this.note(`FINDING ${rule}: ${text}`);
  }

  /** Adds a line to the timeline. */
  note(line: string): void {
    this.timeline.push(`${this.secondsOf(performance.now())} s  ${line}`);
  }

  /** Seconds from the start of the run to a monotonic time in milliseconds. */
  secondsOf(at: number): string {
    return ((at - this.startedAt) / 1000).toFixed(3);
  }
}
