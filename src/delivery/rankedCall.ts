import { type IncomingCall } from './incomingCall';

/** What the rank of a call depends on. */
export type RankedCall = Pick<IncomingCall, 'route' | 'service' | 'tenant'>;
