/** A named resource with the action that closes it. */
export interface OwnedResource {
  readonly name: string;
  readonly close: () => Promise<void> | void;
}
