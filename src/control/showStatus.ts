import { gatewayStatusSchema } from '../operators';

import { askFirst } from './askFirst';
import { askFleet } from './askFleet';
import { type ControlContext } from './controlContext';
import { EXIT } from './exitCode';
import { parseAnswer } from './parseAnswer';
import { reportAskError } from './reportAskError';
import { statusTable } from './statusTable';

/** `status`: asks one gateway for the hosts of the sheet, then all of them. */
export async function showStatus({ io, settings, client }: ControlContext): Promise<number> {
  const answer = await askFirst(client, settings.gateways, '/status');
  if (answer.err) return reportAskError(io, answer.val);
  const first = parseAnswer(answer.val, gatewayStatusSchema);
  if (first === null) {
    io.err('the gateway gave a status that this version cannot read\n');
    return EXIT.refused;
  }
  const fleet = await askFleet(client, first);
  io.out(`${settings.json ? JSON.stringify(fleet) : statusTable(fleet)}\n`);
  return EXIT.done;
}
