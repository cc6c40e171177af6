/** Why a gateway gave no answer. */
export interface ClientError {
  /** False when it is certain that the gateway did not receive the request. */
  readonly mayHaveArrived: boolean;
  readonly detail: string;
}
