/** Process interface of one run of limpetknotctl: arguments, environment, output and order ids. */
export interface ControlIo {
  readonly arguments: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  /** Writes to standard output. */
  readonly out: (text: string) => void;
  /** Writes to standard error. */
  readonly err: (text: string) => void;
  readonly newOrderId: () => string;
}
