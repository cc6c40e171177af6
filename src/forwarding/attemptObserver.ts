import { type Call } from './call';

/** Learns what attempts show about targets; crash suspects are found this way. */
export interface AttemptObserver {
  /** The connection to the target was lost after the call was sent and before an answer. */
  lost(call: Call, target: string): void;
  /** The target took no connection. */
  unreachable(target: string): void;
  /** The target answered; `instance` is its identity, or null when it gives none. */
  answered(target: string, instance: string | null): void;
}
