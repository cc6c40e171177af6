import { formatSheetError } from '../sheet';

import { type ControlContext } from './controlContext';
import { EXIT } from './exitCode';
import { type GatewayRequest } from './gatewayRequest';
import { type OrderResult } from './orderResult';
import { submitOrder } from './submitOrder';

const EXIT_BY_RESULT: Readonly<Record<OrderResult['kind'], number>> = {
  accepted: EXIT.done,
  refused: EXIT.refused,
  unreachable: EXIT.unreachable,
  unknown: EXIT.unknown,
};

function describeResult(result: OrderResult, orderId: string): string {
  switch (result.kind) {
    case 'accepted': {
      const { epoch, unchanged } = result.acceptance;
      return unchanged ? `already so at epoch ${epoch}` : `accepted as epoch ${epoch}`;
    }
    case 'refused': {
      const errors = (result.problem.errors ?? []).map(formatSheetError);
      return [`not accepted: ${result.problem.detail}`, ...errors].join('\n');
    }
    case 'unreachable':
      return [...result.details, 'no gateway could be reached; nothing was ordered'].join('\n');
    default:
      return [
        ...result.details,
        `outcome unknown; repeat the command with --order-id ${orderId}, which is safe`,
      ].join('\n');
  }
}

/** Submits one order, prints its result and returns the exit code. */
export async function executeOrder(
  { io, settings, client }: ControlContext,
  makeRequest: (orderId: string) => GatewayRequest,
): Promise<number> {
  const orderId = settings['order-id'] || io.newOrderId();
  const result = await submitOrder(client, settings.gateways, makeRequest(orderId));
  if (settings.json) io.out(`${JSON.stringify({ orderId, ...result })}\n`);
  else {
    const print = result.kind === 'accepted' ? io.out : io.err;
    print(`order ${orderId}: ${describeResult(result, orderId)}\n`);
  }
  return EXIT_BY_RESULT[result.kind];
}
