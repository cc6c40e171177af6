import { type Rejection } from '../fleet';
import { type SheetError } from '../sheet';

import { type ProblemBody } from './problemBody';

const TYPE_PREFIX = 'urn:limpetknot:problem:';

// Common HTTP clients do not automatically retry a POST for any of these statuses.
const STATUS_BY_REJECTION: Readonly<Record<Rejection['kind'], number>> = {
  conflict: 409,
  'last-zone': 409,
  invalid: 422,
  'no-quorum': 503,
  'not-ready': 503,
  'outcome-unknown': 504,
};

/** Creates a problem; `name` is the last part of its type. */
export function problem(
  status: number,
  name: string,
  detail: string,
  errors?: readonly SheetError[],
): ProblemBody {
  const title = name.replaceAll('-', ' ');
  return { type: `${TYPE_PREFIX}${name}`, title, status, detail, errors };
}

/** Creates the problem that states why an order was not accepted. */
export function problemOfRejection({ kind, detail }: Rejection): ProblemBody {
  return problem(STATUS_BY_REJECTION[kind], `order-${kind}`, detail);
}

/** Returns the kind of rejection in a problem; null for other problems. */
export function rejectionKindOf({ type }: ProblemBody): Rejection['kind'] | null {
  const kinds = Object.keys(STATUS_BY_REJECTION) as Rejection['kind'][];
  return kinds.find((kind) => type === `${TYPE_PREFIX}order-${kind}`) ?? null;
}
