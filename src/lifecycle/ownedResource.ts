/** A named resource and the function that closes it. */
export interface OwnedResource {
  readonly name: string;
  readonly close: () => Promise<void> | void;
}
