import { type IncomingMessage } from 'node:http';

/**
 * A body that is read from its sender while it is sent on. undici destroys a stream that it was
 * given when a request fails, which would close the sender's connection before it is answered;
 * an iterable is left alone until its first chunk is asked for.
 */
export class StreamedBody {
  private begun = false;

  constructor(private readonly source: IncomingMessage) {}

  /** True once a part of the body may have left; it cannot be sent again then. */
  get started(): boolean {
    return this.begun;
  }

  [Symbol.asyncIterator](): AsyncIterator<Buffer> {
    const chunks = this.source.iterator({ destroyOnReturn: false });
    return {
      next: () => {
        this.begun = true;
        return chunks.next() as Promise<IteratorResult<Buffer>>;
      },
      return: async () => {
        await chunks.return?.();
        return { done: true, value: undefined };
      },
    };
  }
}
