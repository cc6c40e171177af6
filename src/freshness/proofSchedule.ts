// All ages are shares of the time by which a change has to be in use. What is left after the last one is
// for the spread of a change.
const CONFIRM_SHARES = [0.4, 0.55, 0.65] as const;
const OTHER_ZONE_SHARE = 0.45;
const ASK_SHARE = 0.5;
const STAND_IN_SHARE = 0.6;
const STAND_IN_STEP_SHARE = 0.1;
const STAND_IN_ZONE_STEP_SHARE = 0.025;
const STORE_TURN_SHARE = 0.85;
// The first of them is the reader.
const FIRST_READERS = 4;

/** Ages of a proof, in milliseconds, at which hosts renew it. */
export interface ProofSchedule {
  /** A reader asks the readers of other zones. */
  readonly otherZoneAgeMs: number;
  /** A host asks the reader of its zone, and then others. */
  readonly askAgeMs: number;
  /** A reader asks its neighbours too. */
  readonly fallbackAgeMs: number;
  /** Any host confirms at the source in its turn. */
  readonly storeTurnAgeMs: number;
  /** The reader of the zone at a position in the order of zones confirms at the source. */
  readonly confirmAgeMs: (zoneRank: number) => number;
  /**
   * A host confirms at the source in place of the hosts that read before it in its zone; Infinity if too many
   * do.
   */
  readonly standInAgeMs: (readerRank: number, zoneRank: number) => number;
}

/** The schedule with which a change of the source is in use within `applyMs` although readers fail. */
export function proofSchedule(applyMs: number): ProofSchedule {
  const lastZoneRank = CONFIRM_SHARES.length - 1;
  return {
    otherZoneAgeMs: OTHER_ZONE_SHARE * applyMs,
    askAgeMs: ASK_SHARE * applyMs,
    fallbackAgeMs: STAND_IN_SHARE * applyMs,
    storeTurnAgeMs: STORE_TURN_SHARE * applyMs,
    confirmAgeMs: (zoneRank) => CONFIRM_SHARES[Math.min(zoneRank, lastZoneRank)]! * applyMs,
    standInAgeMs: (readerRank, zoneRank) => {
      if (readerRank >= FIRST_READERS) return Infinity;
      const step = STAND_IN_STEP_SHARE * Math.max(0, readerRank - 1);
      const zoneStep = STAND_IN_ZONE_STEP_SHARE * Math.min(zoneRank, lastZoneRank);
      return (STAND_IN_SHARE + step + zoneStep) * applyMs;
    },
  };
}
