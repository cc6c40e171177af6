import { type QueriedGateway, type FleetStatus } from './fleetStatus';
import { formatColumns } from './formatColumns';

function formatZones({ latest, gateways }: FleetStatus): string {
  const rows = latest.zones.map(({ zone, inService }) => {
    const zoneGateways = gateways.filter((gateway) => gateway.zone === zone);
    const ready = zoneGateways.filter(({ status }) => status?.ready).length;
    return [zone, inService ? 'in service' : 'OUT', `${ready} of ${zoneGateways.length}`];
  });
  return formatColumns([['ZONE', 'STATE', 'GATEWAYS READY'], ...rows]);
}

function gatewayRow({ host, zone, status, error }: QueriedGateway, members: ReadonlySet<string>) {
  const member = members.has(host) ? 'yes' : 'no';
  if (status === null) return [host, zone, `no answer: ${error}`, member, '-', '-', '-'];
  return [
    host,
    zone,
    status.ready ? 'ready' : `not ready: ${status.reason}`,
    member,
    String(status.epoch ?? '-'),
    String(status.sheetVersion ?? '-'),
    String(status.callsInFlight),
  ];
}

function formatGateways({ latest, gateways }: FleetStatus): string {
  const members = new Set(latest.hosts.filter(({ member }) => member).map(({ host }) => host));
  const rows = gateways.map((gateway) => gatewayRow(gateway, members));
  return formatColumns([
    ['GATEWAY', 'ZONE', 'STATE', 'MEMBER', 'EPOCH', 'SHEET', 'CALLS IN FLIGHT'],
    ...rows,
  ]);
}

function formatTargets({ gateways }: FleetStatus): string {
  const rows = gateways.flatMap(({ host, status }) =>
    (status?.targets ?? []).map(({ target, service, zone, state, inFlight, limit, slots }) => [
      service,
      target,
      zone,
      host,
      state,
      `${inFlight}/${limit}/${slots}`,
    ]),
  );
  rows.sort((left, right) => (left.join(' ') < right.join(' ') ? -1 : 1));
  return formatColumns([
    ['SERVICE', 'TARGET', 'ZONE', 'OWNER', 'STATE', 'IN FLIGHT/LIMIT/SLOTS'],
    ...rows,
  ]);
}

function formatWarnings({ gateways }: FleetStatus): string {
  const rows = gateways.flatMap(({ status }) =>
    (status?.warnings ?? []).map(({ condition, subject, heldMs, detail }) => [
      condition,
      subject === '' ? '-' : subject,
      `${Math.round(heldMs / 1000)} s`,
      detail,
    ]),
  );
  return rows.length === 0
    ? 'No open warnings.'
    : formatColumns([['WARNING', 'SUBJECT', 'FOR', 'DETAIL'], ...rows]);
}

/** Formats the status of the fleet as text tables. */
export function formatStatus(fleet: FleetStatus): string {
  const { sheetVersion, publishedVersion, epoch } = fleet.latest;
  const published = publishedVersion === null ? 'not known' : `version ${publishedVersion}`;
  return [
    `Sheet in force: version ${sheetVersion ?? '-'}, epoch ${epoch ?? '-'}; published: ${published}.`,
    formatZones(fleet),
    formatGateways(fleet),
    formatTargets(fleet),
    formatWarnings(fleet),
  ].join('\n\n');
}
