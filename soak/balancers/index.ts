export { runFaultSoak, type FaultSoakOptions, type FaultSoakResult } from './runFaultSoak';
export { SoakFleet, type SoakFleetOptions } from './soakFleet';
export { type Finding } from './findingLog';
