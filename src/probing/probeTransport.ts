import { type ProbeAnswer } from '../routing';
import { type Target } from '../sheet';

/** Sends one probe to a target; never rejects. */
export interface ProbeTransport {
  probe(target: Target, signal: AbortSignal): Promise<ProbeAnswer>;
}
