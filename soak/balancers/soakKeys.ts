import { type Random } from '../../src/runtime';
import { type PublishedTenant } from '../../standins/store/publishedValues';

import { type KeyLife } from './keyLife';

const TENANTS = ['red', 'blue'] as const;
const KEYS_PER_TENANT = 3;
const WITHDRAWN_SHARE = 0.3;

/** The keys of a run: which tenant has them, and which are withdrawn. */
export class SoakKeys {
  readonly lives = new Map<string, KeyLife>();

  constructor() {
    for (const tenant of TENANTS)
      for (let count = 0; count < KEYS_PER_TENANT; count += 1) this.add(tenant);
  }

  /** The tenants as they are to be published. */
  tenants(): readonly PublishedTenant[] {
    const keys = this.keys(false);
    return TENANTS.map((name) => ({ name, keys: keys.filter((key) => key.startsWith(name)) }));
  }

  /** Replaces a key by a new one; `publish` writes the tenants to the store. Returns the old key. */
  replace(random: Random, publish: () => void): string {
    const keys = this.keys(false);
    const old = keys[random.integer(keys.length)]!;
    this.lives.get(old)!.withdrawnAt = performance.now();
    this.add(old.split('-')[0]!);
    publish();
    this.lives.get(old)!.withdrawnAt = performance.now();
    return old;
  }

  /** A key for the next call: one that is published, or sometimes one that was withdrawn. */
  pick(random: Random): string {
    const withdrawn = this.keys(true);
    const usesWithdrawn = withdrawn.length > 0 && random.next() < WITHDRAWN_SHARE;
    const keys = usesWithdrawn ? withdrawn : this.keys(false);
    return keys[random.integer(keys.length)]!;
  }

  private keys(areWithdrawn: boolean): readonly string[] {
    return [...this.lives]
      .filter(([, { withdrawnAt }]) => (withdrawnAt !== Infinity) === areWithdrawn)
      .map(([key]) => key);
  }

  private add(tenant: string): void {
    const life = { publishedAt: performance.now(), withdrawnAt: Infinity };
    this.lives.set(`${tenant}-key-${this.lives.size}`, life);
  }
}
