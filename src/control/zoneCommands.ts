import { type ControlContext } from './controlContext';
import { executeOrder } from './executeOrder';

function executeZoneOrder(
  context: ControlContext,
  path: string,
  content: Readonly<Record<string, unknown>>,
): Promise<number> {
  return executeOrder(context, (id) => ({
    method: 'POST',
    path,
    contentType: 'application/json',
    body: JSON.stringify({ id, ...content }),
  }));
}

/** Runs `zone out ZONE [--force]`. */
export function takeZoneOut(context: ControlContext, zone: string): Promise<number> {
  return executeZoneOrder(context, '/orders/zone-out', { zone, force: context.settings.force });
}

/** Runs `zone back ZONE`. */
export function takeZoneBack(context: ControlContext, zone: string): Promise<number> {
  return executeZoneOrder(context, '/orders/zone-back', { zone });
}
