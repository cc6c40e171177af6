import { type ProofRequest } from './message';
import { type MessageCodec } from './messageCodec';

/** The token of a request. */
export const PROOF_REQUEST_CODEC: MessageCodec<ProofRequest> = {
  tag: 5,
  encode: ({ token }, writer) => {
    writer.fixed32(token);
  },
  decode: (reader) => ({ kind: 'proofRequest', token: reader.fixed32() }),
};
