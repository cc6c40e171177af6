import { type PeerAddress } from '../peer';
import { type Host } from '../sheet';

/** Address for control messages to a host of the sheet. */
export function peerAddress(host: Host): PeerAddress {
  const address = host.address.includes(':') ? `[${host.address}]` : host.address;
  return { hostId: host.host, address: `${address}:${host.peer_port}` };
}
