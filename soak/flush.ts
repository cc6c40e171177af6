/** Lets pending promise callbacks run; simulated time stands still meanwhile. */
export async function flush(): Promise<void> {
  for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
}
