import { formatSheetError, parseSheet, type Sheet, type SheetError } from '../sheet';

import { askFirst } from './askFirst';
import { type ControlContext } from './controlContext';
import { EXIT } from './exitCode';
import { giveOrder } from './giveOrder';
import { readSheetFile } from './readSheetFile';
import { reportAskError } from './reportAskError';

function reportMistakes({ io, settings }: ControlContext, errors: readonly SheetError[]): void {
  if (settings.json) io.out(`${JSON.stringify({ errors })}\n`);
  else for (const error of errors) io.err(`${formatSheetError(error)}\n`);
}

/** Reads and checks a file; returns the exit code when there is no valid sheet in it. */
async function readSheet(context: ControlContext, path: string): Promise<Sheet | number> {
  const text = await readSheetFile(path);
  if (text.err) {
    context.io.err(`limpetknotctl: ${text.val}\n`);
    return EXIT.usage;
  }
  const sheet = parseSheet(text.val);
  if (sheet.ok) return sheet.val;
  reportMistakes(context, sheet.val);
  return EXIT.refused;
}

/** `sheet check FILE`. */
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

/** `sheet load FILE`. */
export async function loadSheet(context: ControlContext, path: string): Promise<number> {
  const sheet = await readSheet(context, path);
  if (typeof sheet === 'number') return sheet;
  return giveOrder(context, (id) => ({
    method: 'POST',
    path: `/orders/sheet?id=${id}`,
    contentType: 'text/csv',
    body: sheet.text,
  }));
}

/** `sheet show`. */
export async function showSheet(context: ControlContext): Promise<number> {
  const { io, client, settings } = context;
  const answer = await askFirst(client, settings.gateways, '/sheet');
  if (answer.err) return reportAskError(io, answer.val);
  io.out(settings.json ? `${JSON.stringify({ sheet: answer.val.text })}\n` : answer.val.text);
  return EXIT.done;
}
