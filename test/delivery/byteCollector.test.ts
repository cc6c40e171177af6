import { ByteCollector } from '../../src/delivery/byteCollector';

describe('ByteCollector', () => {
  // Guards against bytes that are lost, doubled or swapped where blocks meet.
  it.each([
    ['chunks of one byte', [1]],
    ['small chunks', [700, 3, 4095]],
    ['large chunks', [65_536, 8192]],
    ['a mixture', [1, 70_000, 20, 4096, 16_384, 5]],
  ])('keeps the order of %s', (_, sizes) => {
    const all = Buffer.from(Array.from({ length: 200_000 }, (_none, index) => index % 251));
    const collector = new ByteCollector();
    for (let start = 0, turn = 0; start < all.length; turn += 1) {
      const end = Math.min(all.length, start + sizes[turn % sizes.length]!);
      collector.append(all.subarray(start, end));
      start = end;
    }
    expect(collector.length()).toBe(all.length);
    const chunks = collector.take();
    expect(Buffer.concat(chunks).equals(all)).toBe(true);
    expect([collector.length(), collector.take()]).toEqual([0, []]);
  });

  // Guards against memory many times the size of the body, by chunk or by what was read with it.
  it('holds few blocks that are hardly larger than the body', () => {
    const collector = new ByteCollector();
    const SIZE = 100_000;
    for (let index = 0; index < SIZE; index += 1)
      collector.append(Buffer.alloc(65_536 / 64).subarray(0, 1));
    const chunks = collector.take();
    const memory = new Set(chunks.map((chunk) => chunk.buffer));
    const bytes = [...memory].reduce((sum, buffer) => sum + buffer.byteLength, 0);
    expect(chunks.length).toBeLessThan(50);
    expect(bytes).toBeLessThan(SIZE * 1.5);
  });
});
