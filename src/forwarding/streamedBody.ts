import { type IncomingMessage } from 'node:http';

/**
 * A request body that is forwarded while it is received. undici destroys a stream when its request
 * fails, which would close the sender's connection before the response; it does not touch an
 * async iterable until it requests the first chunk.
 */
export class StreamedBody {
  private hasStarted = false;

  constructor(private readonly source: IncomingMessage) {}

  /** True once a part of the body may have been sent; the body cannot be sent again then. */
  get isStarted(): boolean {
    return this.hasStarted;
  }

  [Symbol.asyncIterator](): AsyncIterator<Buffer> {
    const chunks = this.source.iterator({ destroyOnReturn: false });
    return {
      next: () => {
        this.hasStarted = true;
        return chunks.next() as Promise<IteratorResult<Buffer>>;
      },
      return: async () => {
        await chunks.return?.();
        return { done: true, value: undefined };
      },
    };
  }
}
