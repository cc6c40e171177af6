import { type GatewayStatus } from '../operators';

/** A host of the sheet, with its answer or the reason why it gave none. */
export interface AskedGateway {
  readonly host: string;
  readonly zone: string;
  readonly status: GatewayStatus | null;
  /** Empty when the gateway answered. */
  readonly error: string;
}

/** What all gateways of the sheet say. */
export interface FleetStatus {
  /** The answer with the highest epoch; it decides what is shown for the fleet as a whole. */
  readonly latest: GatewayStatus;
  readonly gateways: readonly AskedGateway[];
}
