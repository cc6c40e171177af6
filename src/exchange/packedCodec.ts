import { BinaryReader, BinaryWriter } from '@bufbuild/protobuf/wire';

import { DIGEST_CODEC } from './digestCodec';
import { FLIGHTS_CODEC } from './flightsCodec';
import { HEARTBEAT_CODEC } from './heartbeatCodec';
import {
  type Digest,
  type Heartbeat,
  type InFlightCountsMessage,
  type ProofRequest,
  type ProofResponse,
  type QuotaMessage,
  type ReportsMessage,
} from './message';
import { type MessageCodec } from './messageCodec';
import { PROOF_REQUEST_CODEC } from './proofRequestCodec';
import { PROOF_RESPONSE_CODEC } from './proofResponseCodec';
import { QUOTA_ANSWER_CODEC } from './quotaAnswerCodec';
import { QUOTA_QUESTION_CODEC } from './quotaQuestionCodec';
import { REPORTS_CODEC } from './reportsCodec';

/**
 * Messages in a binary encoding, as some hundred are sent each second; in JSON, ids and brackets
 * took 5/6 of their bytes.
 */
export type PackedMessage =
  | Digest
  | Heartbeat
  | InFlightCountsMessage
  | ProofRequest
  | ProofResponse
  | QuotaMessage
  | ReportsMessage;

type PackedCodecs = {
  readonly [Name in PackedMessage['kind']]: MessageCodec<Extract<PackedMessage, { kind: Name }>>;
};

/** Codecs of the packed messages by kind. */
export const PACKED_CODECS: PackedCodecs = {
  flights: FLIGHTS_CODEC,
  reports: REPORTS_CODEC,
  digest: DIGEST_CODEC,
  heartbeat: HEARTBEAT_CODEC,
  proofRequest: PROOF_REQUEST_CODEC,
  proofResponse: PROOF_RESPONSE_CODEC,
  quotaQuestion: QUOTA_QUESTION_CODEC,
  quotaAnswer: QUOTA_ANSWER_CODEC,
};

// The first byte has two flags in its lowest bits and then the tag.
const REBROADCAST = 1;
const SHORT = 2;
const FLAG_VALUES = 4;

/** Encodes a packed message: its tag and flags, the protocol version, its fields. */
export function encodePacked(message: PackedMessage, version: number): Buffer {
  const codec = PACKED_CODECS[message.kind] as MessageCodec<PackedMessage>;
  const shouldRebroadcast = 'shouldRebroadcast' in message && message.shouldRebroadcast === true;
  const writer = new BinaryWriter();
  const flags = (shouldRebroadcast ? REBROADCAST : 0) + (codec.isShort?.(message) ? SHORT : 0);
  writer.uint32(codec.tag * FLAG_VALUES + flags).uint32(version);
  codec.encode(message, writer);
  return Buffer.from(writer.finish());
}

/**
 * Decodes a packed message; null when its tag is unknown or its version differs. Throws when it is
 * truncated.
 */
export function decodePacked(bytes: Buffer, version: number): PackedMessage | null {
  const reader = new BinaryReader(bytes);
  const header = reader.uint32();
  const tag = Math.floor(header / FLAG_VALUES);
  const codec = Object.values(PACKED_CODECS).find((candidate) => candidate.tag === tag);
  if (codec === undefined || reader.uint32() !== version) return null;
  return codec.decode(reader, {
    shouldRebroadcast: header % 2 === REBROADCAST,
    isShort: header % FLAG_VALUES >= SHORT,
  });
}
