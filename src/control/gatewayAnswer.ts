/** HTTP response of a gateway. */
export interface GatewayAnswer {
  readonly status: number;
  readonly text: string;
}
