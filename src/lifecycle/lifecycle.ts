import { CloseError } from './closeError';
import { type OwnedResource } from './ownedResource';

/**
 * Owns the resources that must be closed: servers, sockets, timers, streams.
 * They close one after the other, in reverse order of registration.
 */
export class Lifecycle {
  private resources: OwnedResource[] = [];

  private closing: Promise<readonly CloseError[]> | null = null;

  /** Registers `close` under `name`; it runs exactly once, when the lifecycle closes. */
  own(name: string, close: () => Promise<void> | void): void {
    if (this.closing !== null) throw new Error(`lifecycle is closing; cannot register ${name}`);
    this.resources.push({ name, close });
  }

  /** Names of the resources that are still open, in order of registration. */
  open(): readonly string[] {
    return this.resources.map((resource) => resource.name);
  }

  /** Closes all resources and returns the failures; concurrent and later calls share the result. */
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
