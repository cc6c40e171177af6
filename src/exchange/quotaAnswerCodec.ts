import { isIPv4 } from 'node:net';

import { type BinaryReader, type BinaryWriter } from '@bufbuild/protobuf/wire';

import { type QuotaAnswer, type QuotaResult } from './message';
import { type MessageCodec } from './messageCodec';

interface ResultCodec<Result extends QuotaResult> {
  /** Identifies the kind; part of the wire format. */
  readonly tag: number;
  encode(result: Result, writer: BinaryWriter): void;
  decode(reader: BinaryReader): Result;
}

type ResultCodecs = {
  readonly [Kind in QuotaResult['kind']]: ResultCodec<Extract<QuotaResult, { kind: Kind }>>;
};

function encodeWait({ waitMs }: { readonly waitMs: number }, writer: BinaryWriter): void {
  writer.uint32(Math.ceil(waitMs));
}

const RESULT_CODECS: ResultCodecs = {
  granted: {
    tag: 0,
    encode: ({ isFarBelowLimit }, writer) => {
      writer.bool(isFarBelowLimit);
    },
    decode: (reader) => ({ kind: 'granted', isFarBelowLimit: reader.bool() }),
  },
  exceeded: {
    tag: 1,
    encode: encodeWait,
    decode: (reader) => ({ kind: 'exceeded', waitMs: reader.uint32() }),
  },
  unknown: {
    tag: 2,
    encode: encodeWait,
    decode: (reader) => ({ kind: 'unknown', waitMs: reader.uint32() }),
  },
  redirect: {
    tag: 3,
    encode: ({ ip, hasCeased }, writer) => {
      writer.string(ip).bool(hasCeased);
    },
    decode: (reader) => {
      const ip = reader.string();
      // Questions are sent to this address.
      if (!isIPv4(ip)) throw new RangeError('redirect without an IPv4 address');
      return { kind: 'redirect', ip, hasCeased: reader.bool() };
    },
  },
};

/** An answer that grants a call takes 7 bytes for numbers below 2^21. */
export const QUOTA_ANSWER_CODEC: MessageCodec<QuotaAnswer> = {
  tag: 8,
  encode: ({ number, result }, writer) => {
    const codec = RESULT_CODECS[result.kind] as ResultCodec<QuotaResult>;
    writer.uint32(number).uint32(codec.tag);
    codec.encode(result, writer);
  },
  decode: (reader) => {
    const number = reader.uint32();
    const tag = reader.uint32();
    const codec = Object.values(RESULT_CODECS).find((candidate) => candidate.tag === tag);
    if (codec === undefined) throw new RangeError(`unknown result ${tag}`);
    return { kind: 'quotaAnswer', number, result: codec.decode(reader) };
  },
};
