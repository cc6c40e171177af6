import { type Answer } from './transmission';

/** Reads the body of an answer; null when it exceeds `maxBytes` or is incomplete. */
export function collectBody(answer: Answer, maxBytes: number): Promise<Buffer | null> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    answer.streamTo({
      data: (chunk) => {
        sizeBytes += chunk.length;
        if (sizeBytes <= maxBytes) chunks.push(chunk);
        else answer.cancel();
        return true;
      },
      end: (end) =>
        resolve(end === 'whole' && sizeBytes <= maxBytes ? Buffer.concat(chunks) : null),
    });
  });
}
