import { defineEvents } from '../logging';

/** Events of the forwarding module. */
export const FORWARDING_EVENTS = defineEvents(1100, {
  callRefused: { number: 1100, level: 'debug', message: 'call refused' },
  answerTruncated: { number: 1101, level: 'info', message: 'answer ended early' },
  malformedRequest: { number: 1102, level: 'info', message: 'malformed request refused' },
  unauthenticatedRelay: {
    number: 1103,
    level: 'warn',
    message: 'relayed call without the peer secret',
  },
  callFailed: { number: 1104, level: 'error', message: 'call failed inside the gateway' },
  outcomeViolated: { number: 1105, level: 'error', message: 'outcome rule violated' },
});
