/** Why a request got no response from a gateway. */
export interface ClientError {
  /** False when it is certain that the gateway did not receive the request. */
  readonly mayHaveArrived: boolean;
  readonly detail: string;
}
