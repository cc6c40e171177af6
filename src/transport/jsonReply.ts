/** A reply; `body` is the parsed JSON, or undefined when it is empty or not JSON. */
export interface JsonReply {
  readonly status: number;
  readonly body: unknown;
}
