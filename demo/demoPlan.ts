import { type CallKind, type LoadPlan } from '../measure/harness/plan';
import { type Sheet } from '../src';

const CALL_TIMEOUT_MS = 2000;

/** One kind of call for each operation of the sheet; services without operations get a lookup. */
function callKinds(sheet: Sheet): readonly CallKind[] {
  return [...sheet.services.keys()].flatMap((service): readonly CallKind[] => {
    const operations = sheet.operations.filter((operation) => operation.service === service);
    const weight = sheet.targetsOf.get(service)?.length ?? 0;
    if (operations.length === 0) {
      return [{ name: service, weight, method: 'GET', path: `/${service}/items`, isKeyed: false }];
    }
    return operations.map(({ method, path_prefix: prefix, idempotent }) => ({
      name: service,
      weight: weight / operations.length,
      method: method === 'POST' ? 'POST' : 'GET',
      path: `/${service}${prefix.replace(/\/$/, '')}`,
      isKeyed: !idempotent,
    }));
  });
}

/** Workload of the demo: reads and writes at all services, through all gateways. */
export function demoPlan(
  sheet: Sheet,
  baseUrls: readonly string[],
  seed: number,
  seconds: number,
  callsPerSecond: number,
): LoadPlan {
  return {
    seed,
    runId: 'demo',
    baseUrls,
    phases: [{ name: 'demo', seconds, callsPerSecond }],
    kinds: callKinds(sheet),
    timeoutMs: CALL_TIMEOUT_MS,
  };
}
