import { type SheetHost } from './sheetText';

type FlagValue = string | number;

/** Command-line flags of a gateway for a host of a generated sheet. */
export function gatewayFlags(
  host: SheetHost,
  platformUrl: string,
  extraFlags: Readonly<Record<string, FlagValue>>,
): readonly string[] {
  const flags: Readonly<Record<string, FlagValue>> = {
    'host-id': host.id,
    zone: host.zone,
    'caller-port': host.callerPort,
    'relay-port': host.relayPort,
    'peer-port': host.peerPort,
    'operator-port': host.operatorPort,
    'configuration-url': platformUrl,
    'host-list-url': platformUrl,
    ...extraFlags,
  };
  return Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
}
