import { gatewayStatusSchema } from '../operators';

import { queryFirstGateway } from './queryFirstGateway';
import { queryFleet } from './queryFleet';
import { type ControlContext } from './controlContext';
import { EXIT } from './exitCode';
import { parseAnswer } from './parseAnswer';
import { reportQueryError } from './reportQueryError';
import { formatStatus } from './formatStatus';

/** Runs `status`: reads the hosts of the sheet from one gateway, then queries all of them. */
export async function showStatus({ io, settings, client }: ControlContext): Promise<number> {
  const answer = await queryFirstGateway(client, settings.gateways, '/status');
  if (answer.err) return reportQueryError(io, answer.val);
  const first = parseAnswer(answer.val, gatewayStatusSchema);
  if (first === null) {
    io.err('the gateway gave a status that this version cannot read\n');
    return EXIT.refused;
  }
  const fleet = await queryFleet(client, first);
  io.out(`${settings.json ? JSON.stringify(fleet) : formatStatus(fleet)}\n`);
  return EXIT.done;
}
