import { type ControlSettings } from '../settings';

import { type ControlIo } from './controlIo';
import { type GatewayClient } from './gatewayClient';

/** Dependencies of a command. */
export interface ControlContext {
  readonly io: ControlIo;
  readonly settings: ControlSettings;
  readonly client: GatewayClient;
}
