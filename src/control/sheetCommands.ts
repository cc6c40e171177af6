import { formatSheetError, parseSheet, type Sheet, type SheetError } from '../sheet';

import { queryFirstGateway } from './queryFirstGateway';
import { type ControlContext } from './controlContext';
import { EXIT } from './exitCode';
import { executeOrder } from './executeOrder';
import { readSheetFile } from './readSheetFile';
import { reportQueryError } from './reportQueryError';

function reportSheetErrors({ io, settings }: ControlContext, errors: readonly SheetError[]): void {
  if (settings.json) io.out(`${JSON.stringify({ errors })}\n`);
  else for (const error of errors) io.err(`${formatSheetError(error)}\n`);
}

/** Reads and validates a sheet file; returns the exit code when it has no valid sheet. */
async function readSheet(context: ControlContext, path: string): Promise<Sheet | number> {
  const text = await readSheetFile(path);
  if (text.err) {
    context.io.err(`limpetknotctl: ${text.val}\n`);
    return EXIT.usage;
  }
  const sheet = parseSheet(text.val);
  if (sheet.ok) return sheet.val;
  reportSheetErrors(context, sheet.val);
  return EXIT.refused;
}

/** Runs `sheet check FILE`. */
export async function checkSheet(context: ControlContext, path: string): Promise<number> {
  const sheet = await readSheet(context, path);
  if (typeof sheet === 'number') return sheet;
  const { version, fingerprint } = sheet;
  const counts = { hosts: sheet.hosts.size, targets: sheet.targets.size };
  context.io.out(
    context.settings.json
      ? `${JSON.stringify({ version, fingerprint, ...counts, errors: [] })}\n`
      : `version ${version} is valid: ${counts.hosts} hosts, ${counts.targets} targets, fingerprint ${fingerprint}\n`,
  );
  return EXIT.done;
}

/** Runs `sheet load FILE`. */
export async function loadSheet(context: ControlContext, path: string): Promise<number> {
  const sheet = await readSheet(context, path);
  if (typeof sheet === 'number') return sheet;
  return executeOrder(context, (id) => ({
    method: 'POST',
    path: `/orders/sheet?id=${id}`,
    contentType: 'text/csv',
    body: sheet.text,
  }));
}

/** Runs `sheet show`. */
export async function showSheet(context: ControlContext): Promise<number> {
  const { io, client, settings } = context;
  const answer = await queryFirstGateway(client, settings.gateways, '/sheet');
  if (answer.err) return reportQueryError(io, answer.val);
  io.out(settings.json ? `${JSON.stringify({ sheet: answer.val.text })}\n` : answer.val.text);
  return EXIT.done;
}
