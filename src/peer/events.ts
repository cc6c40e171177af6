import { defineEvents } from '../logging';

/** Log events of the peer module. */
export const PEER_EVENTS = defineEvents(500, {
  callRefused: {
    number: 500,
    level: 'warn',
    message: 'control call refused',
  },
  peerConnected: { number: 501, level: 'info', message: 'heartbeat stream with peer opened' },
  peerDisconnected: { number: 502, level: 'info', message: 'heartbeat stream with peer closed' },
  handlerFailed: { number: 503, level: 'error', message: 'handler of a control call failed' },
});
