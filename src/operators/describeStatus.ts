import { type FleetView } from '../fleet';

import { type GatewayStatus } from './gatewayStatus';
import { type OperatorContext } from './operatorContext';
import { readinessOf } from './readiness';

type FleetFields = Pick<
  GatewayStatus,
  'epoch' | 'sheetVersion' | 'sheetFingerprint' | 'zones' | 'hosts'
>;

const NO_FLEET_FIELDS: FleetFields = {
  epoch: null,
  sheetVersion: null,
  sheetFingerprint: null,
  zones: [],
  hosts: [],
};

function describeFleet({ record, sheet }: FleetView): FleetFields {
  const zones = [...sheet.zones.keys()].map((zone) => ({
    zone,
    inService: !record.zonesOut.includes(zone),
  }));
  const hosts = [...sheet.hosts.values()].map((host) => ({
    host: host.host,
    zone: host.zone,
    address: host.address,
    operatorPort: host.operator_port,
    member: record.members.includes(host.host),
  }));
  return {
    epoch: record.epoch,
    sheetVersion: record.sheetVersion,
    sheetFingerprint: record.sheetFingerprint,
    zones,
    hosts,
  };
}

/** Builds the response to `GET /status`. */
export function describeStatus(context: OperatorContext): GatewayStatus {
  const { clock, fleet, status } = context;
  const view = fleet.view();
  const warnings = status.openWarnings().map(({ condition, subject, detail, since }) => ({
    condition,
    subject,
    detail,
    heldMs: Math.round(clock.now() - since),
  }));
  return {
    host: context.hostId,
    software: context.software,
    ...readinessOf(fleet, clock, context.isStopping()),
    ...(view === null ? NO_FLEET_FIELDS : describeFleet(view)),
    publishedVersion: status.publishedVersion(),
    callsInFlight: status.callsInFlight(),
    targets: status.targets(),
    warnings,
  };
}
