import { type BinaryReader, type BinaryWriter } from '@bufbuild/protobuf/wire';

import { type Heartbeat, type HostFields } from './message';
import { type MessageCodec } from './messageCodec';
import { readItems } from './readItems';
import { readState, writeState } from './stateCodec';

const SHOULD_REPLY = 1;
const HAS_MEMBERS = 2;
const HAS_OTHER_ZONE = 4;

function hasFlag(flags: number, flag: number): boolean {
  return Math.floor(flags / flag) % 2 === 1;
}

// Hosts are sent by zone, since those of one message are mostly of the same zone.
function writeMembers(writer: BinaryWriter, members: readonly HostFields[]): void {
  const byZone = new Map<string, HostFields[]>();
  for (const member of members) {
    const [, zone] = member;
    byZone.set(zone, [...(byZone.get(zone) ?? []), member]);
  }
  writer.uint32(byZone.size);
  for (const [zone, hosts] of byZone) {
    writer.string(zone);
    writer.uint32(hosts.length);
    for (const [id, , ip] of hosts) writer.string(id).string(ip);
  }
}

function readMembers(reader: BinaryReader): readonly HostFields[] {
  return readItems(reader, () => {
    const zone = reader.string();
    return readItems(reader, (): HostFields => [reader.string(), zone, reader.string()]);
  }).flat();
}

/** State of a host with its address. */
export const HEARTBEAT_CODEC: MessageCodec<Heartbeat> = {
  tag: 4,
  encode: ({ host, members, otherZone, shouldReplyWithMembers, ...state }, writer) => {
    for (const field of host) writer.string(field);
    const flags =
      (shouldReplyWithMembers === true ? SHOULD_REPLY : 0) +
      (members === undefined ? 0 : HAS_MEMBERS) +
      (otherZone === undefined ? 0 : HAS_OTHER_ZONE);
    writeState(writer, state, flags);
    if (members !== undefined) writeMembers(writer, members);
    if (otherZone !== undefined) writer.string(otherZone[0]).uint32(otherZone[1]);
  },
  decode: (reader) => {
    const host: HostFields = [reader.string(), reader.string(), reader.string()];
    const { state, extraFlags } = readState(reader);
    const members = hasFlag(extraFlags, HAS_MEMBERS) ? readMembers(reader) : undefined;
    const otherZone = hasFlag(extraFlags, HAS_OTHER_ZONE)
      ? ([reader.string(), reader.uint32()] as const)
      : undefined;
    const shouldReplyWithMembers = hasFlag(extraFlags, SHOULD_REPLY);
    return { kind: 'heartbeat', host, ...state, members, otherZone, shouldReplyWithMembers };
  },
};
