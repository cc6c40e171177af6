import { type Operation } from './schema';
import { type Sheet } from './sheet';

/** How a call is treated: its priority class, and whether a repeat has no further effect. */
export interface OperationTraits {
  readonly class: string;
  readonly idempotent: boolean;
}

// Methods that RFC 9110 defines as idempotent; they count where the sheet names no operation.
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

/** Finds operations of one sheet by service, method and longest path prefix. */
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

  /** Traits of a call to a known service; `path` is the path behind the service segment. */
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
