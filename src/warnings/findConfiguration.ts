import { type Finding } from './finding';
import { type Observation } from './observation';

// A healthy service is read at least every 38 s, so a shorter time without a read is normal.
const STALE_AFTER_MS = 90_000;

/** Detects a configuration service that is down or serves an older version. */
export function findStale({ configuration }: Observation, now: number): readonly Finding[] {
  const { lastFreshAt, publishedVersion, highestVersion } = configuration;
  if (now - lastFreshAt < STALE_AFTER_MS) return [];
  const served = `serves version ${publishedVersion} after ${highestVersion}`;
  const isOlder = publishedVersion !== null && publishedVersion < highestVersion;
  return [{ subject: '', detail: isOlder ? served : 'cannot be read', since: lastFreshAt }];
}

/** Detects a published sheet that is invalid. */
export function findInvalid({ configuration }: Observation): readonly Finding[] {
  if (configuration.invalid === '') return [];
  return [{ subject: '', detail: configuration.invalid, since: null }];
}

/** Detects a sheet in force whose version is higher than all published versions. */
export function findNotPublished({ configuration, record }: Observation): readonly Finding[] {
  const { highestVersion, publishedVersion } = configuration;
  if (record === null || publishedVersion === null) return [];
  if (record.sheetVersion <= highestVersion) return [];
  const detail = `version ${record.sheetVersion} is in force, ${highestVersion} is published`;
  return [{ subject: String(record.sheetVersion), detail, since: null }];
}

/** Detects a sheet version with two different contents. */
export function findVersionConflict({ configuration }: Observation): readonly Finding[] {
  const version = configuration.conflictingVersion;
  if (version === null) return [];
  return [{ subject: String(version), detail: `version ${version} has two contents`, since: null }];
}
