export { type JsonReply } from './jsonReply';
export { type TransportError } from './transportError';
export { JsonClient } from './jsonClient';
