import { type ControlSettings } from '../settings';

import { type ControlIo } from './controlIo';
import { type GatewayClient } from './gatewayClient';

/** What a command works with. */
export interface ControlContext {
  readonly io: ControlIo;
  readonly settings: ControlSettings;
  readonly client: GatewayClient;
}
