import { type CallKind, type LoadPlan } from '../measure/harness/plan';
import { type Sheet } from '../src';

const CALL_TIMEOUT_MS = 2000;

/** One kind of call for each operation of the sheet, and a lookup for services without any. */
function kindsOf(sheet: Sheet): readonly CallKind[] {
  return [...sheet.services.keys()].flatMap((service): readonly CallKind[] => {
    const operations = sheet.operations.filter((operation) => operation.service === service);
    const weight = sheet.targetsOf.get(service)?.length ?? 0;
    if (operations.length === 0) {
      return [{ name: service, weight, method: 'GET', path: `/${service}/items`, keyed: false }];
    }
    return operations.map(({ method, path_prefix: prefix, idempotent }) => ({
      name: service,
      weight: weight / operations.length,
      method: method === 'POST' ? 'POST' : 'GET',
      path: `/${service}${prefix.replace(/\/$/, '')}`,
      keyed: !idempotent,
    }));
  });
}

/** The load of the demo: lookups and effects at all services, over all gateways. */
export function demoPlan(
  sheet: Sheet,
  bases: readonly string[],
  seed: number,
  seconds: number,
  callsPerSecond: number,
): LoadPlan {
  return {
    seed,
    runId: 'demo',
    bases,
    phases: [{ name: 'demo', seconds, callsPerSecond }],
    kinds: kindsOf(sheet),
    timeoutMs: CALL_TIMEOUT_MS,
  };
}
