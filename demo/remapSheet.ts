import { type SheetHost } from '../standins';

type Cells = Record<string, string>;

/** Returns the changed row, or null to drop it. */
type RowChange = (cells: Cells) => Cells | null;

/** Applies changes to the rows of a canonical sheet, by section. */
function mapRows(text: string, changes: Readonly<Record<string, RowChange>>): string {
  const lines: string[] = [];
  let section = '';
  let columns: readonly string[] | null = null;
  for (const line of text.split('\n')) {
    const start = /^\[(.+)\]$/.exec(line);
    const change = changes[section];
    if (start !== null) {
      section = start[1]!;
      columns = null;
      lines.push(line);
    } else if (columns === null || change === undefined || line === '') {
      columns ??= line.split(',');
      lines.push(line);
    } else {
      const values = line.split(',');
      const cells = change(
        Object.fromEntries(columns.map((column, index) => [column, values[index] ?? ''])),
      );
      if (cells !== null) lines.push(columns.map((column) => cells[column]).join(','));
    }
  }
  return lines.join('\n');
}

/** Returns the canonical text of a sheet with only the given hosts and with loopback addresses. */
export function remapSheet(
  text: string,
  hosts: readonly SheetHost[],
  targetPorts: ReadonlyMap<string, number>,
): string {
  const byId = new Map(hosts.map((host) => [host.id, host]));
  return mapRows(text, {
    hosts: (cells) => {
      const host = byId.get(cells.host ?? '');
      if (host === undefined) return null;
      return {
        ...cells,
        address: '127.0.0.1',
        caller_port: String(host.callerPort),
        relay_port: String(host.relayPort),
        peer_port: String(host.peerPort),
        operator_port: String(host.operatorPort),
      };
    },
    targets: (cells) => ({
      ...cells,
      address: '127.0.0.1',
      port: String(targetPorts.get(cells.target ?? '')),
    }),
  });
}
