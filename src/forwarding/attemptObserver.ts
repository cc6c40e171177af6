import { type Call } from './call';

/** Receives the results of attempts, from which crash-inducing calls are detected. */
export interface AttemptObserver {
  /** The connection to the target was lost after the call was sent and before a response. */
  lost(call: Call, target: string): void;
  /** No connection to the target could be established. */
  unreachable(target: string): void;
  /** The target responded; `instance` identifies its process, null when it sends no identity. */
  answered(target: string, instance: string | null): void;
}
