import { request } from 'undici';

import { StoreStandin } from '../../standins/store/storeStandin';

describe('the stand-in of the store', () => {
  // Guards against tests of what a host asks the store that fail because of a balancer of another test,
  // which still checks the health of a server that had the same port.
  it('counts no requests that are not meant for a store', async () => {
    const store = new StoreStandin();
    const url = `http://${await store.listen()}`;
    try {
      expect((await request(`${url}/healthz`)).statusCode).toBe(404);
      expect(store.callCount()).toBe(0);
      expect((await request(`${url}/api/kv-range?prefix=`)).statusCode).toBe(200);
      expect(store.callCount()).toBe(1);
    } finally {
      store.close();
    }
  });
});
