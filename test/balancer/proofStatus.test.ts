import { request } from 'undici';

import { configurationValue } from '../../standins/store/publishedValues';
import { TestPlatform } from '../support/testPlatform';

const TENANTS = {
  columns: ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
  rows: [['tenant', ['key'], null, 0, 0]],
};
// A host confirms at least this often, so that a shorter time without a call proves nothing.
const CONFIRM_INTERVAL_MS = 1000;

describe('the proof that the configuration is the newest one', () => {
  const platform = new TestPlatform();

  afterAll(() => platform.stop());

  async function proofInStatus(): Promise<unknown> {
    const { body } = await request(`http://127.0.0.1:${platform.controlPort}/status`);
    return ((await body.json()) as { proof: unknown }).proof;
  }

  // Guards against a host whose configuration may grow old unnoticed, with or without tenants, and against one that
  // claims a proof before it has a configuration.
  it('is kept and shown from the first configuration on', async () => {
    platform.store.put('servers/i-1', {});
    await platform.start({ waitReady: false });
    await platform.sleep(CONFIRM_INTERVAL_MS);
    expect(platform.store.confirmationCount()).toBe(0);
    expect(await proofInStatus()).toBeNull();
    const configuration = configurationValue(1, []) as object;
    for (const tenants of [undefined, TENANTS]) {
      const version = tenants === undefined ? 1 : 2;
      platform.store.put('op/config', { ...configuration, version, tenants });
      const before = platform.store.confirmationCount();
      await platform.until(() => platform.store.confirmationCount() > before + 1);
      await platform.sleep(CONFIRM_INTERVAL_MS / 10);
      expect(await proofInStatus()).toMatchObject({
        ageMs: expect.any(Number) as number,
        mayUseKeys: true,
      });
    }
  });
});
