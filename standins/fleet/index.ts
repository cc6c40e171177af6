export { FleetModel } from './fleetModel';
export {
  type ModelKind,
  type ModelOptions,
  type ModelService,
  type ModelDisturbance,
} from './modelOptions';
export { type KindReport, type ModelReport } from './modelReport';
export { COURSES, ROUNDS } from './deployments';
