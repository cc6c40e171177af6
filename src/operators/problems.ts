import { type Rejection } from '../fleet';
import { type SheetError } from '../sheet';

import { type ProblemBody } from './problemBody';

const TYPE_PREFIX = 'urn:limpetknot:problem:';

// No listed status is retried by common HTTP clients on their own for a POST.
const REJECTION_STATUS: Readonly<Record<Rejection['kind'], number>> = {
  conflict: 409,
  'last-zone': 409,
  invalid: 422,
  'no-quorum': 503,
  'not-ready': 503,
  'outcome-unknown': 504,
};

/** Makes a problem; `name` becomes the last part of its type. */
export function problem(
  status: number,
  name: string,
  detail: string,
  errors?: readonly SheetError[],
): ProblemBody {
  const title = name.replaceAll('-', ' ');
  return { type: `${TYPE_PREFIX}${name}`, title, status, detail, errors };
}

/** The problem that tells an operator why an order does not hold. */
export function problemOfRejection({ kind, detail }: Rejection): ProblemBody {
  return problem(REJECTION_STATUS[kind], `order-${kind}`, detail);
}

/** The kind of rejection that a problem states; null when it states none. */
export function rejectionKindOf({ type }: ProblemBody): Rejection['kind'] | null {
  const kinds = Object.keys(REJECTION_STATUS) as Rejection['kind'][];
  return kinds.find((kind) => type === `${TYPE_PREFIX}order-${kind}`) ?? null;
}
