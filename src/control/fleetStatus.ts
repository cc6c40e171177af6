import { type GatewayStatus } from '../operators';

/** A host of the sheet with its status, or the reason why it is missing. */
export interface QueriedGateway {
  readonly host: string;
  readonly zone: string;
  readonly status: GatewayStatus | null;
  /** Empty when the gateway returned its status. */
  readonly error: string;
}

/** Status of all gateways of the sheet. */
export interface FleetStatus {
  /** The status with the highest epoch; it is the source for what is shown of the whole fleet. */
  readonly latest: GatewayStatus;
  readonly gateways: readonly QueriedGateway[];
}
