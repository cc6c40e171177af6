import { type Clock } from '../runtime';

const LIFETIME_MS = 3000;

interface KnownOwner {
  readonly ip: string;
  readonly validUntil: number;
}

/** Owners and substitutes that other hosts named, as this host does not know all hosts. */
export class KnownOwners {
  private readonly owners = new Map<string, KnownOwner>();

  constructor(private readonly clock: Clock) {}

  /** The host that another host named for a role, or that has answered in it lately. */
  find(role: string): string | undefined {
    const owner = this.owners.get(role);
    if (owner === undefined || owner.validUntil > this.clock.now()) return owner?.ip;
    this.owners.delete(role);
    return undefined;
  }

  /** Remembers a host for a role. */
  record(role: string, ip: string): void {
    this.owners.set(role, { ip, validUntil: this.clock.now() + LIFETIME_MS });
  }

  /** Forgets the host of a role. */
  forget(role: string): void {
    this.owners.delete(role);
  }
}
