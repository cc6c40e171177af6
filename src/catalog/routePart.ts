/** Share of a service in the calls of a route. */
export interface RoutePart {
  readonly service: string;
  /** Relative to the weights of the other parts; not negative. */
  readonly weight: number;
}
