export {
  readConfiguration,
  type ConfigurationRequest,
  type PublishedConfiguration,
} from './readConfiguration';
export { readHostList, type HostList } from './readHostList';
export { type PlatformError } from './platformError';
