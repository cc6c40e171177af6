/** A reply with a JSON body, or with a body that is no JSON (`body` is then undefined). */
export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
}
