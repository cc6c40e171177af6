import { type StreamedBody } from './streamedBody';

/** Body of a call. A buffered body can be sent again, a stream only until reading has started. */
export type CallBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'buffered'; readonly bytes: Buffer }
  | { readonly kind: 'stream'; readonly stream: StreamedBody };

/** True while the complete body can still be sent. */
export function canBeSent(body: CallBody): boolean {
  return body.kind !== 'stream' || !body.stream.isStarted;
}
