import { type Answer } from './transmission';

/** Reads the body of an answer; null when it is longer than `limit` or ends early. */
export function collectBody(answer: Answer, limit: number): Promise<Buffer | null> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    answer.streamTo({
      data: (chunk) => {
        size += chunk.length;
        if (size <= limit) chunks.push(chunk);
        else answer.cancel();
        return true;
      },
      end: (end) => resolve(end === 'whole' && size <= limit ? Buffer.concat(chunks) : null),
    });
  });
}
