/** A reply; `body` is the parsed JSON, or undefined when it is empty or not JSON. */
export interface JsonReply {
  readonly status: number;
  /** By name in lower case; a header that was sent several times is an array. */
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly body: unknown;
}
