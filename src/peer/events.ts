import { defineEvents } from '../logging';

/** Events of the peer module. */
export const PEER_EVENTS = defineEvents(500, {
  strangerRefused: { number: 500, level: 'warn', message: 'control call refused' },
  peerConnected: { number: 501, level: 'info', message: 'heartbeats with peer started' },
  peerLost: { number: 502, level: 'info', message: 'heartbeats with peer ended' },
  handlerFailed: { number: 503, level: 'error', message: 'control call failed' },
});
