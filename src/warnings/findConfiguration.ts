import { type Finding } from './finding';
import { type Observation } from './observation';

// A healthy service is read at least every 38 s; shorter silences are no condition at all.
const NORMAL_SILENCE_MS = 90_000;

/** The configuration service is down or serves an older version. */
export function findStale({ configuration }: Observation, now: number): readonly Finding[] {
  const { lastFreshAt, publishedVersion, highestVersion } = configuration;
  if (now - lastFreshAt < NORMAL_SILENCE_MS) return [];
  const served = `serves version ${publishedVersion} after ${highestVersion}`;
  const isOlder = publishedVersion !== null && publishedVersion < highestVersion;
  return [{ subject: '', detail: isOlder ? served : 'cannot be read', since: lastFreshAt }];
}

/** The published sheet is not valid. */
export function findInvalid({ configuration }: Observation): readonly Finding[] {
  if (configuration.invalid === '') return [];
  return [{ subject: '', detail: configuration.invalid, since: null }];
}

/** The sheet in force is above all published versions. */
export function findNotPublished({ configuration, record }: Observation): readonly Finding[] {
  const { highestVersion, publishedVersion } = configuration;
  if (record === null || publishedVersion === null) return [];
  if (record.sheetVersion <= highestVersion) return [];
  const detail = `version ${record.sheetVersion} is in force, ${highestVersion} is published`;
  return [{ subject: String(record.sheetVersion), detail, since: null }];
}

/** One version has two contents. */
export function findVersionConflict({ configuration }: Observation): readonly Finding[] {
  const version = configuration.conflictingVersion;
  if (version === null) return [];
  return [{ subject: String(version), detail: `version ${version} has two contents`, since: null }];
}
