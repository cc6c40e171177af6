import { type Message } from './message';

/** Hosts of another protocol version are not understood, and their datagrams are dropped. */
export const EXCHANGE_VERSION = 1;

/** Largest message that fits into one datagram without fragments. */
export const DATAGRAM_BYTES = 1350;

/** Bytes of a message. */
export function encodeMessage(message: Message): Buffer {
  return Buffer.from(JSON.stringify([EXCHANGE_VERSION, message]), 'utf8');
}

/** The message of a datagram; null when it is no message of this protocol version. */
export function decodeMessage(bytes: Buffer): Message | null {
  try {
    const [version, message] = JSON.parse(bytes.toString('utf8')) as [unknown, Message];
    return version === EXCHANGE_VERSION && typeof message.kind === 'string' ? message : null;
  } catch {
    // Counted by the caller as an unreadable datagram.
    return null;
  }
}
