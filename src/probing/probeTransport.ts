import { type ProbeAnswer } from '../routing';
import { type Target } from '../sheet';

/** Sends a single probe to a target; the promise never rejects. */
export interface ProbeTransport {
  probe(target: Target, signal: AbortSignal): Promise<ProbeAnswer>;
}
