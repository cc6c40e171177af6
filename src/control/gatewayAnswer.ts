/** What a gateway answered. */
export interface GatewayAnswer {
  readonly status: number;
  readonly text: string;
}
