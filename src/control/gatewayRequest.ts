/** A request to the operators' port of a gateway. */
export interface GatewayRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Content type of the body; empty without a body. */
  readonly contentType: string;
  readonly body: string;
}

/** Creates a GET request for `path`. */
export function getRequest(path: string): GatewayRequest {
  return { method: 'GET', path, contentType: '', body: '' };
}
