import { buildConnector, Pool } from 'undici';

import { guardSocket } from '../delivery';

const CONNECT_TIMEOUT_MS = 1000;
// Below the keep-alive timeout of common servers (5 s in Node.js): a request sent on a connection
// that the server is closing has an unknown outcome.
const IDLE_TIMEOUT_MS = 4000;

const connectPlain = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

const connectGuarded: buildConnector.connector = (options, callback) =>
  connectPlain(options, (...result) => {
    if (result[0] === null) guardSocket(result[1]);
    callback(...result);
  });

/** HTTP/1.1 connection pools by address; requests are never pipelined. */
export class ConnectionPools {
  private readonly pools = new Map<string, Pool>();

  /** Returns the pool for an address. `connections` limits a new pool; null means no limit. */
  poolFor(address: string, port: number, connections: number | null): Pool {
    const key = `${address}:${port}`;
    let pool = this.pools.get(key);
    if (pool === undefined) {
      const origin = address.includes(':') ? `http://[${address}]:${port}` : `http://${key}`;
      pool = new Pool(origin, {
        connections,
        pipelining: 1,
        connect: connectGuarded,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
      });
      this.pools.set(key, pool);
    }
    return pool;
  }

  /** Closes all connections once their requests have completed. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.close()));
    this.pools.clear();
  }
}
