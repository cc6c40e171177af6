import { type ControlContext } from './controlContext';
import { giveOrder } from './giveOrder';

function giveZoneOrder(
  context: ControlContext,
  path: string,
  content: Readonly<Record<string, unknown>>,
): Promise<number> {
  return giveOrder(context, (id) => ({
    method: 'POST',
    path,
    contentType: 'application/json',
    body: JSON.stringify({ id, ...content }),
  }));
}

/** `zone out ZONE [--force]`. */
export function takeZoneOut(context: ControlContext, zone: string): Promise<number> {
  return giveZoneOrder(context, '/orders/zone-out', { zone, force: context.settings.force });
}

/** `zone back ZONE`. */
export function takeZoneBack(context: ControlContext, zone: string): Promise<number> {
  return giveZoneOrder(context, '/orders/zone-back', { zone });
}
