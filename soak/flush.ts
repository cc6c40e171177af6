/** Runs pending promise callbacks (microtasks) without advancing simulated time. */
export async function flush(): Promise<void> {
  for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
}
