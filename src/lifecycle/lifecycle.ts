import { CloseError } from './closeError';
import { type OwnedResource } from './ownedResource';

/**
 * Owns everything that must be closed: servers, sockets, timers, streams.
 * Resources close one after the other, in reverse order of their registration.
 */
export class Lifecycle {
  private resources: OwnedResource[] = [];

  private closing: Promise<readonly CloseError[]> | null = null;

  /** Registers `close` under `name`; it runs exactly once, when the life cycle closes. */
  own(name: string, close: () => Promise<void> | void): void {
    if (this.closing !== null) throw new Error(`life cycle is closing; cannot own ${name}`);
    this.resources.push({ name, close });
  }

  /** Names of what is still open, in order of registration. */
  open(): readonly string[] {
    return this.resources.map((resource) => resource.name);
  }

  /** Closes all resources and returns what failed; repeated calls share one closing. */
  close(): Promise<readonly CloseError[]> {
    this.closing ??= this.closeAll();
    return this.closing;
  }

  private async closeAll(): Promise<readonly CloseError[]> {
    const errors: CloseError[] = [];
    while (this.resources.length > 0) {
      const resource = this.resources.pop()!;
      try {
        await resource.close();
      } catch (cause) {
        errors.push(new CloseError(resource.name, cause));
      }
    }
    return errors;
  }
}
