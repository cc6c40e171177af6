export { FleetModel } from './fleetModel';
export {
  type ModelKind,
  type ModelOptions,
  type ModelService,
  type ModelTrouble,
} from './modelOptions';
export { type KindReport, type ModelReport } from './modelReport';
export { COURSES, ROUNDS } from './deployments';
