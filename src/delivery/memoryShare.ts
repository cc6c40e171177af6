interface Account {
  hasRoom(bytes: number): boolean;
  change(bytes: number): void;
}

/** Bytes that one call or attempt holds, out of an account. */
export class MemoryShare {
  private bytes = 0;

  private isReleased = false;

  constructor(private readonly account: Account) {}

  /** Adds bytes, unless the account has no room for them. */
  tryGrow(bytes: number): boolean {
    if (!this.account.hasRoom(bytes)) return false;
    this.grow(bytes);
    return true;
  }

  /** Adds bytes that are already held elsewhere. */
  grow(bytes: number): void {
    if (this.isReleased) return;
    this.bytes += bytes;
    this.account.change(bytes);
  }

  /** Returns all bytes; what is added later is not counted. */
  release(): void {
    this.isReleased = true;
    this.account.change(-this.bytes);
    this.bytes = 0;
  }
}
