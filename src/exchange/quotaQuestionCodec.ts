import { type QuotaQuestion } from './message';
import { type MessageCodec } from './messageCodec';

// The last field has three flags in its lowest bits and then the number of returned calls.
const SUBSTITUTE = 1;
const HANDED_OVER = 2;
const FAR_BELOW_LIMIT = 4;
const FLAG_VALUES = 8;

/** A question takes 10 bytes for numbers below 2^21. */
export const QUOTA_QUESTION_CODEC: MessageCodec<QuotaQuestion> = {
  tag: 7,
  encode: ({ number, tenant, isSubstitute, isHandedOver, isFarBelowLimit, returned }, writer) => {
    writer.uint32(number).fixed32(tenant);
    const flags =
      (isSubstitute ? SUBSTITUTE : 0) +
      (isHandedOver ? HANDED_OVER : 0) +
      (isFarBelowLimit ? FAR_BELOW_LIMIT : 0);
    writer.uint32(returned * FLAG_VALUES + flags);
  },
  decode: (reader) => {
    const number = reader.uint32();
    const tenant = reader.fixed32();
    const field = reader.uint32();
    return {
      kind: 'quotaQuestion',
      ...{ number, tenant },
      isSubstitute: field % HANDED_OVER === SUBSTITUTE,
      isHandedOver: field % FAR_BELOW_LIMIT >= HANDED_OVER,
      isFarBelowLimit: field % FLAG_VALUES >= FAR_BELOW_LIMIT,
      returned: Math.floor(field / FLAG_VALUES),
    };
  },
};
