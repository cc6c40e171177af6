import { createHash } from 'node:crypto';

import { type EventLog } from '../logging';
import { formatSheetError, parseSheet, type Sheet } from '../sheet';

import { CONFIGURATION_EVENTS } from './configurationEvents';
import { type ConfigurationState } from './configurationState';
import { type FleetRecord } from './fleetRecord';

/** Fields of the record that published sheets are compared with. */
export type SheetInForce = Pick<FleetRecord, 'sheetVersion' | 'sheetFingerprint'>;

// Several are kept, since replicas of the service may alternate between different contents.
const MAX_SEEN_DIGESTS = 64;

interface SheetIdentity {
  readonly version: number;
  readonly fingerprint: string;
}

/** Validates published sheets, detects version conflicts and logs each fault once. */
export class PublicationMonitor {
  private state: ConfigurationState;

  private highest: SheetIdentity | null = null;

  private readonly seenDigests = new Set<string>();

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

  /** Records that a watch ended without a newer version. */
  recordUnchanged(now: number): void {
    const { publishedVersion } = this.state;
    if (publishedVersion === null || publishedVersion < this.highestVersion()) return;
    this.state = { ...this.state, lastFreshAt: now };
  }

  /** Evaluates a published text; returns its sheet when it should be proposed. */
  evaluate(text: string, now: number, inForce: SheetInForce | null): Sheet | null {
    const isNew = this.markSeen(text);
    const parsed = parseSheet(text);
    if (parsed.err) {
      const invalid = formatSheetError(parsed.val[0]!);
      if (isNew) {
        const mistakes = parsed.val.length;
        this.events.emit(CONFIGURATION_EVENTS.sheetInvalid, { first: invalid, mistakes });
      }
      this.state = { ...this.state, invalid, lastFreshAt: now };
      return null;
    }
    return this.evaluateSheet(parsed.val, now, inForce, isNew);
  }

  /** Remembers the digest of the text; true when it is new, so that each fault is logged once. */
  private markSeen(text: string): boolean {
    const digest = createHash('sha256').update(text).digest('hex');
    if (this.seenDigests.has(digest)) return false;
    this.seenDigests.add(digest);
    if (this.seenDigests.size > MAX_SEEN_DIGESTS)
      this.seenDigests.delete(this.seenDigests.keys().next().value!);
    return true;
  }

  private evaluateSheet(
    sheet: Sheet,
    now: number,
    inForce: SheetInForce | null,
    isNew: boolean,
  ): Sheet | null {
    const { version, fingerprint } = sheet;
    const isOlder = version < this.highestVersion();
    const hasConflict = this.conflictsWith(sheet, inForce);
    if (isNew && hasConflict) {
      this.events.emit(CONFIGURATION_EVENTS.versionConflict, { version, fingerprint });
    }
    if (isNew && isOlder) {
      const highest = this.highestVersion();
      this.events.emit(CONFIGURATION_EVENTS.olderPublished, { version, highest });
    }
    // The first content seen of a version is the reference for detecting conflicts.
    if (version > this.highestVersion()) this.highest = { version, fingerprint };
    this.state = {
      lastFreshAt: isOlder ? this.state.lastFreshAt : now,
      publishedVersion: version,
      highestVersion: this.highestVersion(),
      invalid: '',
      conflictingVersion: hasConflict ? version : null,
    };
    if (hasConflict || isOlder || version <= (inForce?.sheetVersion ?? 0)) return null;
    return sheet;
  }

  private conflictsWith({ version, fingerprint }: Sheet, inForce: SheetInForce | null): boolean {
    if (inForce?.sheetVersion === version) return inForce.sheetFingerprint !== fingerprint;
    return this.highest?.version === version && this.highest.fingerprint !== fingerprint;
  }
}
