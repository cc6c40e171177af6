import { createHash } from 'node:crypto';

import { type CheckedRow, rowsOf } from './checkedRow';
import { type Target } from './schema';
import { type Sheet } from './sheet';
import { formatSheet } from './formatSheet';

function indexBy<Value, Key extends keyof Value>(
  rows: readonly { readonly value: Value }[],
  key: Key,
): ReadonlyMap<string, Value> {
  return new Map(rows.map(({ value }) => [String(value[key]), Object.freeze(value)]));
}

function groupTargets(targets: Iterable<Target>): ReadonlyMap<string, readonly Target[]> {
  const groups = new Map<string, Target[]>();
  for (const target of targets) {
    const group = groups.get(target.service);
    if (group === undefined) groups.set(target.service, [target]);
    else group.push(target);
  }
  for (const group of groups.values()) {
    group.sort((left, right) => (left.target < right.target ? -1 : 1));
  }
  return groups;
}

/** Builds the immutable sheet from rows that passed all checks. */
export function buildSheet(rows: readonly CheckedRow[]): Sheet {
  const header = rowsOf(rows, 'sheet')[0]!.value;
  const text = formatSheet(rows);
  const targets = indexBy(rowsOf(rows, 'targets'), 'target');
  return Object.freeze({
    ...header,
    text,
    fingerprint: createHash('sha256').update(text).digest('hex'),
    zones: indexBy(rowsOf(rows, 'zones'), 'zone'),
    hosts: indexBy(rowsOf(rows, 'hosts'), 'host'),
    services: indexBy(rowsOf(rows, 'services'), 'service'),
    targets,
    operations: rowsOf(rows, 'operations').map(({ value }) => Object.freeze(value)),
    priorities: indexBy(rowsOf(rows, 'priorities'), 'class'),
    targetsOf: groupTargets(targets.values()),
  });
}
