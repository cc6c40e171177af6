import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';

const ABSOLUTE_FORM = /^https?:\/\/[^/?#]*/i;
// A target may normalize such a path to the path of another operation.
const AMBIGUOUS_PATH = /\/\/|\/\.|%2f|%2e|%5c|\\/i;

/** Service of a call and the path sent to its target. */
export interface RequestAddress {
  readonly service: string;
  /** Path and query after the service segment, unchanged. */
  readonly path: string;
  /** True when a target may normalize the path to another one, for instance by resolving `..`. */
  readonly isAmbiguous: boolean;
}

/** Splits `/service/rest?query`; scheme and authority of an absolute-form URL are ignored. */
export function readAddress(url: string): Result<RequestAddress, NotRun> {
  const absolute = url.startsWith('/') ? null : ABSOLUTE_FORM.exec(url);
  if (!url.startsWith('/') && absolute === null) {
    return Err(notRun('bad-request', 'the request target must start with / or http://'));
  }
  const origin = absolute === null ? url : url.slice(absolute[0].length);
  const full = origin.startsWith('/') ? origin : `/${origin}`;
  const end = full.slice(1).search(/[/?]/);
  if (end === -1) return Ok({ service: full.slice(1), path: '/', isAmbiguous: false });
  const rest = full.slice(1 + end);
  const path = rest.startsWith('?') ? `/${rest}` : rest;
  const query = path.indexOf('?');
  const isAmbiguous = AMBIGUOUS_PATH.test(query === -1 ? path : path.slice(0, query));
  return Ok({ service: full.slice(1, 1 + end), path, isAmbiguous });
}
