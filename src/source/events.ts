import { defineEvents } from '../logging';

/** Events of the source module. */
export const SOURCE_EVENTS = defineEvents(2000, {
  regained: { number: 2000, level: 'info', message: 'catalog source is reachable' },
  lost: { number: 2001, level: 'warn', message: 'reading the catalog source failed; retrying' },
  stopped: {
    number: 2003,
    level: 'info',
    message: 'stopped reading the catalog source; another host reads it',
  },
  changed: { number: 2004, level: 'info', message: 'catalog changed' },
  partlyUsed: {
    number: 2005,
    level: 'warn',
    message: 'parts of a published value are left out or not used as written',
  },
  restored: {
    number: 2006,
    level: 'warn',
    message: 'catalog source was restored from an older copy; reading all of it again',
  },
  eraUnreadable: {
    number: 2007,
    level: 'warn',
    message: 'an answer of the catalog source states no usable era; the known one counts',
  },
  withheld: {
    number: 2008,
    level: 'info',
    message: 'deletions of targets are withheld, since their entries may only have expired',
  },
  disconnected: {
    number: 2010,
    level: 'info',
    message: 'a connection to the catalog source closed; reading on over a new one',
  },
  watchMissed: {
    number: 2011,
    level: 'warn',
    message: 'a watch has not returned a change that the catalog source has; reading on anew',
  },
  released: { number: 2009, level: 'info', message: 'withheld deletions are applied' },
});
