/** A request to the operators' port of a gateway. */
export interface GatewayRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Content type of the body; empty without a body. */
  readonly contentType: string;
  readonly body: string;
}

/** A request that reads `path`. */
export function reading(path: string): GatewayRequest {
  return { method: 'GET', path, contentType: '', body: '' };
}
