import { Pool } from 'undici';

const CONNECT_LIMIT_MS = 1000;
// Shorter than the idle limit of common servers (5 s in Node.js): a request that meets a closing
// connection has an unknown outcome.
const IDLE_LIMIT_MS = 4000;

/** HTTP/1.1 connections by address; requests are never pipelined. */
export class ConnectionPools {
  private readonly pools = new Map<string, Pool>();

  /** The pool for an address; `connections` bounds its size when it is made, null does not. */
  to(address: string, port: number, connections: number | null): Pool {
    const key = `${address}:${port}`;
    let pool = this.pools.get(key);
    if (pool === undefined) {
      const origin = address.includes(':') ? `http://[${address}]:${port}` : `http://${key}`;
      pool = new Pool(origin, {
        connections,
        pipelining: 1,
        connectTimeout: CONNECT_LIMIT_MS,
        keepAliveTimeout: IDLE_LIMIT_MS,
      });
      this.pools.set(key, pool);
    }
    return pool;
  }

  /** Closes all connections once their requests have ended. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.close()));
    this.pools.clear();
  }
}
