export { type HostAddress } from './hostAddress';
export { type KnownHost } from './knownHost';
export { Membership } from './membership';
export {
  type Message,
  type ProofResponse,
  type QuotaAnswer,
  type QuotaMessage,
  type QuotaQuestion,
  type QuotaResult,
} from './message';
export { type DatagramLink } from './datagramLink';
export { UdpLink } from './udpLink';
export { Exchange, type ExchangeParts } from './exchange';
export { EXCHANGE_EVENTS } from './events';
