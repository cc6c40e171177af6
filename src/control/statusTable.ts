import { type AskedGateway, type FleetStatus } from './fleetStatus';
import { columns } from './columns';

function zoneRows({ latest, gateways }: FleetStatus): string {
  const rows = latest.zones.map(({ zone, inService }) => {
    const own = gateways.filter((gateway) => gateway.zone === zone);
    const ready = own.filter(({ status }) => status?.ready).length;
    return [zone, inService ? 'in service' : 'OUT', `${ready} of ${own.length}`];
  });
  return columns([['ZONE', 'STATE', 'GATEWAYS READY'], ...rows]);
}

function gatewayRow({ host, zone, status, error }: AskedGateway, members: ReadonlySet<string>) {
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

function gatewayRows({ latest, gateways }: FleetStatus): string {
  const members = new Set(latest.hosts.filter(({ member }) => member).map(({ host }) => host));
  const rows = gateways.map((gateway) => gatewayRow(gateway, members));
  return columns([
    ['GATEWAY', 'ZONE', 'STATE', 'MEMBER', 'EPOCH', 'SHEET', 'CALLS IN FLIGHT'],
    ...rows,
  ]);
}

function targetRows({ gateways }: FleetStatus): string {
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
  return columns([
    ['SERVICE', 'TARGET', 'ZONE', 'OWNER', 'STATE', 'IN FLIGHT/LIMIT/SLOTS'],
    ...rows,
  ]);
}

function warningRows({ gateways }: FleetStatus): string {
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
    : columns([['WARNING', 'SUBJECT', 'FOR', 'DETAIL'], ...rows]);
}

/** The status of the fleet for people. */
export function statusTable(fleet: FleetStatus): string {
  const { sheetVersion, publishedVersion, epoch } = fleet.latest;
  const published = publishedVersion === null ? 'not known' : `version ${publishedVersion}`;
  return [
    `Sheet in force: version ${sheetVersion ?? '-'}, epoch ${epoch ?? '-'}; published: ${published}.`,
    zoneRows(fleet),
    gatewayRows(fleet),
    targetRows(fleet),
    warningRows(fleet),
  ].join('\n\n');
}
