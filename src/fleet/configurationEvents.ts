import { defineEvents } from '../logging';

/** Events logged while the configuration is read and distributed. */
export const CONFIGURATION_EVENTS = defineEvents(650, {
  readFailed: { number: 650, level: 'info', message: 'configuration service cannot be read' },
  readAgain: { number: 651, level: 'info', message: 'configuration service can be read again' },
  sheetInvalid: { number: 652, level: 'warn', message: 'published sheet is not valid' },
  versionConflict: {
    number: 653,
    level: 'warn',
    message: 'one sheet version was published with two contents',
  },
  olderPublished: { number: 654, level: 'info', message: 'an older sheet is published again' },
  sheetProposed: { number: 655, level: 'info', message: 'published sheet proposed' },
  hostListFailed: { number: 656, level: 'info', message: 'host list cannot be read' },
  hostListAgain: { number: 657, level: 'info', message: 'host list can be read again' },
  deltaUnusable: { number: 658, level: 'warn', message: 'sheet delta cannot be applied' },
});
