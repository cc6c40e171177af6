import { createHash } from 'node:crypto';

import { type EventLog } from '../logging';
import { formatSheetError, parseSheet, type Sheet } from '../sheet';

import { CONFIGURATION_EVENTS } from './configurationEvents';
import { type ConfigurationState } from './configurationState';
import { type FleetRecord } from './fleetRecord';

/** The part of the record that published sheets are compared with. */
export type SheetInForce = Pick<FleetRecord, 'sheetVersion' | 'sheetFingerprint'>;

// Replicas of the service may take turns in serving different contents.
const NOTICED_TEXTS = 64;

interface SeenSheet {
  readonly version: number;
  readonly fingerprint: string;
}

/** Judges what the configuration service publishes, and notes each fault once. */
export class Publication {
  private state: ConfigurationState;

  private highest: SeenSheet | null = null;

  private readonly noticed = new Set<string>();

  constructor(
    now: number,
    private readonly events: EventLog,
  ) {
    this.state = {
      lastFreshAt: now,
      publishedVersion: null,
      highestVersion: 0,
      invalid: '',
      conflictingVersion: null,
    };
  }

  current(): ConfigurationState {
    return this.state;
  }

  /** Highest valid version read so far; 0 when none was read. */
  highestVersion(): number {
    return this.highest?.version ?? 0;
  }

  /** Notes that a watch ended without a newer version. */
  noteUnchanged(now: number): void {
    const { publishedVersion } = this.state;
    if (publishedVersion === null || publishedVersion < this.highestVersion()) return;
    this.state = { ...this.state, lastFreshAt: now };
  }

  /** Judges a published text; returns its sheet when that should come into force. */
  take(text: string, now: number, inForce: SheetInForce | null): Sheet | null {
    const isNews = this.notice(text);
    const parsed = parseSheet(text);
    if (parsed.err) {
      const invalid = formatSheetError(parsed.val[0]!);
      if (isNews) {
        const mistakes = parsed.val.length;
        this.events.emit(CONFIGURATION_EVENTS.sheetInvalid, { first: invalid, mistakes });
      }
      this.state = { ...this.state, invalid, lastFreshAt: now };
      return null;
    }
    return this.judge(parsed.val, now, inForce, isNews);
  }

  /** True for a content that was not read lately, so that each fault is logged once. */
  private notice(text: string): boolean {
    const digest = createHash('sha256').update(text).digest('hex');
    if (this.noticed.has(digest)) return false;
    this.noticed.add(digest);
    if (this.noticed.size > NOTICED_TEXTS) this.noticed.delete(this.noticed.keys().next().value!);
    return true;
  }

  private judge(
    sheet: Sheet,
    now: number,
    inForce: SheetInForce | null,
    isNews: boolean,
  ): Sheet | null {
    const { version, fingerprint } = sheet;
    const isOlder = version < this.highestVersion();
    const conflicts = this.conflictsWith(sheet, inForce);
    if (isNews && conflicts) {
      this.events.emit(CONFIGURATION_EVENTS.versionConflict, { version, fingerprint });
    }
    if (isNews && isOlder) {
      const highest = this.highestVersion();
      this.events.emit(CONFIGURATION_EVENTS.olderPublished, { version, highest });
    }
    // The first content of a version stays the reference for later ones.
    if (version > this.highestVersion()) this.highest = { version, fingerprint };
    this.state = {
      lastFreshAt: isOlder ? this.state.lastFreshAt : now,
      publishedVersion: version,
      highestVersion: this.highestVersion(),
      invalid: '',
      conflictingVersion: conflicts ? version : null,
    };
    if (conflicts || isOlder || version <= (inForce?.sheetVersion ?? 0)) return null;
    return sheet;
  }

  private conflictsWith({ version, fingerprint }: Sheet, inForce: SheetInForce | null): boolean {
    if (inForce?.sheetVersion === version) return inForce.sheetFingerprint !== fingerprint;
    return this.highest?.version === version && this.highest.fingerprint !== fingerprint;
  }
}
