import type * as wire from './generated/peer';

/** Request and reply of each unary method of the peer protocol. */
export interface PeerMethods {
  readonly prepare: { readonly request: wire.PrepareRequest; readonly reply: wire.VoteReply };
  readonly accept: { readonly request: wire.AcceptRequest; readonly reply: wire.VoteReply };
  readonly commit: { readonly request: wire.CommitRequest; readonly reply: wire.CommitReply };
  readonly readRecord: {
    readonly request: wire.ReadRecordRequest;
    readonly reply: wire.ReadRecordReply;
  };
  readonly release: { readonly request: wire.ReleaseRequest; readonly reply: wire.Empty };
  readonly claimKey: {
    readonly request: wire.ClaimKeyRequest;
    readonly reply: wire.ClaimKeyReply;
  };
  readonly settleKey: { readonly request: wire.SettleKeyRequest; readonly reply: wire.Empty };
  readonly reportClaims: { readonly request: wire.ReportClaimsRequest; readonly reply: wire.Empty };
  readonly reportDeath: { readonly request: wire.ReportDeathRequest; readonly reply: wire.Empty };
}

/** Name of a unary method. */
export type PeerMethod = keyof PeerMethods;

/** Handles requests of one method. */
export type PeerHandler<Method extends PeerMethod> = (
  request: PeerMethods[Method]['request'],
) => PeerMethods[Method]['reply'] | Promise<PeerMethods[Method]['reply']>;

/** Handles sheet requests; the sheet is sent in chunks, as fast as the iterable yields them. */
export type SheetHandler = (request: wire.FetchSheetRequest) => AsyncIterable<wire.SheetChunk>;
