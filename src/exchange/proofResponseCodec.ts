import { type ProofResponse } from './message';
import { type MessageCodec } from './messageCodec';
import { readRevision } from './readRevision';

/** The token of a request, and the proof. */
export const PROOF_RESPONSE_CODEC: MessageCodec<ProofResponse> = {
  tag: 6,
  encode: ({ token, revision, ageMs }, writer) => {
    writer.fixed32(token).uint64(revision).uint32(ageMs);
  },
  decode: (reader) => ({
    kind: 'proofResponse',
    token: reader.fixed32(),
    revision: readRevision(reader),
    ageMs: reader.uint32(),
  }),
};
