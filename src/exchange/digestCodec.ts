import { type Digest } from './message';
import { type MessageCodec } from './messageCodec';
import { readState, writeState } from './stateCodec';

// Ages are sent in units that are fine compared with the liveness timeout.
const AGE_UNIT_MS = 50;

/** State of a known host, by the key of its id. */
export const DIGEST_CODEC: MessageCodec<Digest> = {
  tag: 3,
  encode: ({ sender, ages, ...state }, writer) => {
    writer.fixed32(sender);
    writeState(writer, state, 0);
    writer.uint32(ages.size);
    for (const [host, ageMs] of ages) {
      writer.fixed32(host);
      writer.uint32(Math.round(Math.max(0, ageMs) / AGE_UNIT_MS));
    }
  },
  decode: (reader) => {
    const sender = reader.fixed32();
    const { state } = readState(reader);
    const ages = new Map<number, number>();
    for (let remaining = reader.uint32(); remaining > 0; remaining -= 1)
      ages.set(reader.fixed32(), reader.uint32() * AGE_UNIT_MS);
    return { kind: 'digest', sender, ...state, ages };
  },
};
