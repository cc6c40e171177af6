export { FleetModel } from './fleetModel';
export {
  type ModelKind,
  type ModelOptions,
  type ModelService,
  type ModelDisturbance,
} from './modelOptions';
export { type KindReport, type ModelReport } from './modelReport';
export { ModelCallers } from './modelCallers';
export { modelCatalog } from './modelCatalog';
export { ModelConnections } from './modelConnections';
export { ModelHost } from './modelHost';
export { ModelTarget } from './modelTarget';
export { ActiveDisturbances } from './activeDisturbances';
export { COURSES, ORDERS, ROUNDS, SALES } from './deployments';
