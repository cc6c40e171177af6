import { type Readable } from 'node:stream';

import { type Dispatcher } from 'undici';

import { type CallBody } from './callBody';

/** The body of a call as undici takes it. */
export function dispatchBody(body: CallBody): Dispatcher.DispatchOptions['body'] {
  if (body.kind === 'none') return null;
  if (body.kind === 'buffered') return body.bytes;
  // undici accepts any async iterable, although its types do not include them.
  return body.stream as unknown as Readable;
}
