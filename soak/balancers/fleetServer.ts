import { type ServerStandin } from '../../standins/server/serverStandin';

/** A server of a soak run. */
export interface FleetServer {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly standin: ServerStandin;
  /** `IP:port`. */
  readonly address: string;
}
