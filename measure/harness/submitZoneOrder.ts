import { request } from 'undici';

import { type SheetHost } from '../../standins';

/** Submits an order at the operator port of a host; returns the time of acceptance, or null. */
export async function submitZoneOrder(
  host: SheetHost,
  kind: 'zone-out' | 'zone-back',
  zone: string,
  id: string,
): Promise<number | null> {
  try {
    const answer = await request(`http://127.0.0.1:${host.operatorPort}/orders/${kind}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ id, zone }),
    });
    await answer.body.dump();
    return answer.statusCode === 200 ? performance.timeOrigin + performance.now() : null;
  } catch {
    return null;
  }
}
