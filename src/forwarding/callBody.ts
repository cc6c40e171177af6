import { type IncomingMessage } from 'node:http';

/** The body of a call. A buffered body can be sent again; a stream can be sent once. */
export type CallBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'buffered'; readonly bytes: Buffer }
  | { readonly kind: 'stream'; readonly stream: IncomingMessage; readonly length: number | null };
