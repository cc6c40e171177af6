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
export { type Beat, type BeatStatus } from './beat';
export {
  type PeerHandler,
  type PeerMethod,
  type PeerMethods,
  type SheetHandler,
} from './peerMethods';
export { type PeerTransport } from './peerTransport';
