import { type BalancerSettings } from '../settings';
import { shortestExpiringOutage } from '../source';

// Keys are used until shortly before the time of their revocation, which leaves room for a store that is
// unavailable for some seconds.
const REVOCATION_SHARE = 0.4;

/**
 * Time by which any change of the source is to be in use, in milliseconds. While some host can read, the source's
 * answers are never so far apart that this looks like an outage in which entries expire.
 */
export function changeApplyMs(settings: BalancerSettings): number {
  return Math.min(
    settings['configuration-apply-ms'],
    settings['removal-apply-ms'],
    shortestExpiringOutage(settings['target-renewal-ms']),
    settings['strict-revocation'] ? settings['revocation-ms'] * REVOCATION_SHARE : Infinity,
  );
}
