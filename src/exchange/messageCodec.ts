import { type BinaryReader, type BinaryWriter } from '@bufbuild/protobuf/wire';

/** Properties of a message that its first byte has beside the kind. */
export interface MessageFlags {
  readonly shouldRebroadcast: boolean;
  /** Whether the message is in the short form that its codec has for the usual case. */
  readonly isShort: boolean;
}

/** Encodes and decodes the fields of one kind of message. */
export interface MessageCodec<Kind> {
  /** Identifies the kind in the first byte of a datagram; part of the wire format. */
  readonly tag: number;
  /** Whether `encode` writes the short form; a codec without it has none. */
  isShort?(message: Kind): boolean;
  encode(message: Kind, writer: BinaryWriter): void;
  decode(reader: BinaryReader, flags: MessageFlags): Kind;
}
