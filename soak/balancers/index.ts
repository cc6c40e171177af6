export { runFaultSoak, type FaultSoakOptions, type FaultSoakResult } from './runFaultSoak';
export { SoakFleet, type SoakFleetOptions } from './soakFleet';
export { type CallRecords } from './callRecords';
export { checkCalls } from './checkCalls';
export { checkWishes } from './checkWishes';
export { FindingLog, type Finding } from './findingLog';
export { HostHistory } from './hostHistory';
