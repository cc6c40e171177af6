import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';

const ABSOLUTE_FORM = /^https?:\/\/[^/?#]*/i;
// A target may resolve such a path to that of another operation.
const AMBIGUOUS_PATH = /\/\/|\/\.|%2f|%2e|%5c|\\/i;

/** The service of a call, and the path that its target sees. */
export interface RequestAddress {
  readonly service: string;
  /** Path and query behind the service segment, as the caller wrote them. */
  readonly path: string;
  /** True when a target may read the path as another one, for instance by resolving `..`. */
  readonly ambiguous: boolean;
}

/** Splits `/service/rest?query`; an absolute-form target counts from behind its authority. */
export function readAddress(url: string): Result<RequestAddress, NotRun> {
  const absolute = url.startsWith('/') ? null : ABSOLUTE_FORM.exec(url);
  if (!url.startsWith('/') && absolute === null) {
    return Err(notRun('bad-request', 'the request target must start with / or http://'));
  }
  const origin = absolute === null ? url : url.slice(absolute[0].length);
  const full = origin.startsWith('/') ? origin : `/${origin}`;
  const end = full.slice(1).search(/[/?]/);
  if (end === -1) return Ok({ service: full.slice(1), path: '/', ambiguous: false });
  const rest = full.slice(1 + end);
  const path = rest.startsWith('?') ? `/${rest}` : rest;
  const query = path.indexOf('?');
  const ambiguous = AMBIGUOUS_PATH.test(query === -1 ? path : path.slice(0, query));
  return Ok({ service: full.slice(1, 1 + end), path, ambiguous });
}
