import { type Operation } from './schema';
import { type Sheet } from './sheet';

/** Priority class of a call, and whether the call is idempotent. */
export interface OperationTraits {
  readonly class: string;
  readonly idempotent: boolean;
}

// Methods that RFC 9110 defines as idempotent; used for calls that match no operation of the sheet.
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

/** Looks up operations of a sheet by service, method and longest path prefix. */
export class OperationIndex {
  private readonly byService = new Map<string, Operation[]>();

  constructor(private readonly sheet: Sheet) {
    for (const operation of sheet.operations) {
      const group = this.byService.get(operation.service);
      if (group === undefined) this.byService.set(operation.service, [operation]);
      else group.push(operation);
    }
    for (const group of this.byService.values()) {
      group.sort((left, right) => right.path_prefix.length - left.path_prefix.length);
    }
  }

  /** Returns the traits of a call to a known service; `path` starts after the service segment. */
  find(service: string, method: string, path: string): OperationTraits {
    const operations = this.byService.get(service) ?? [];
    const match = operations.find(
      (operation) =>
        (operation.method === '*' || operation.method === method) &&
        path.startsWith(operation.path_prefix),
    );
    if (match !== undefined) return match;
    const serviceClass = this.sheet.services.get(service)?.class ?? '';
    return { class: serviceClass, idempotent: IDEMPOTENT_METHODS.has(method) };
  }
}
