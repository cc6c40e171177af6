export { type SettingDefinition, type SettingTable, type SettingValues } from './settingDefinition';
export {
  readSettings,
  environmentVariableOf,
  type ParsedSettings,
  type SettingsSource,
} from './readSettings';
export { type SettingsError, formatSettingsError } from './settingsError';
export { helpText } from './helpText';
export { GATEWAY_SETTINGS, type GatewaySettings } from './gatewaySettings';
export { BALANCER_SETTINGS, type BalancerSettings } from './balancerSettings';
export { SettingsFile } from './settingsFile';
export { findSettingsEnd, parseSettingsFile } from './parseSettingsFile';
export { CONTROL_SETTINGS, type ControlSettings } from './controlSettings';
