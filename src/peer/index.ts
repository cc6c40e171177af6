export type {
  AcceptRequest,
  ClaimKeyReply,
  ClaimKeyRequest,
  CommitRequest,
  FetchSheetRequest,
  PrepareRequest,
  ReadRecordReply,
  RecordedAnswer,
  ReleaseRequest,
  ReportClaimsRequest,
  ReportDeathRequest,
  ReportedClaim,
  SettleKeyRequest,
  SheetChunk,
  VoteReply,
  FleetRecord as WireRecord,
} from './generated/peer';
export { ClaimState } from './generated/peer';
export { type PeerError } from './peerError';
export { type PeerAddress } from './peerAddress';
export { type ReceivedHeartbeat, type HeartbeatStatus } from './receivedHeartbeat';
export {
  type PeerHandler,
  type PeerMethod,
  type PeerMethods,
  type SheetHandler,
} from './peerMethods';
export { type PeerTransport } from './peerTransport';
export { type HeartbeatContext, HeartbeatSession } from './heartbeatSession';
export { PROTOCOL_VERSION, MINIMUM_PROTOCOL_VERSION } from './protocolVersion';
export { GrpcTransport, HEARTBEAT_INTERVAL_MS, type GrpcTransportParts } from './grpcTransport';
export { PEER_METRICS } from './metrics';
export { PEER_EVENTS } from './events';
