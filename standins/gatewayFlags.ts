import { type SheetHost } from './sheetText';

type FlagValue = string | number;

/** Command line of a gateway for a host of a generated sheet; `others` are further settings. */
export function gatewayFlags(
  host: SheetHost,
  platformUrl: string,
  others: Readonly<Record<string, FlagValue>>,
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
    ...others,
  };
  return Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
}
