export { CallerListener } from './callerListener';
export { RelayListener } from './relayListener';
export { Forwarder, type ForwarderContext, type PlacementResult } from './forwarder';
export { ConnectionPools } from './connectionPools';
export { FORWARDING_EVENTS } from './events';
