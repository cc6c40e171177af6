export { type FleetRecord } from './fleetRecord';
export { type Ballot, compareBallots } from './ballot';
export { type FleetView } from './fleetView';
export { type Owner } from './owner';
export { type OwnedTarget, type InheritedState } from './ownedTarget';
export { type Order, type Acceptance, type Rejection } from './order';
export { type Fleet } from './fleet';
export { FixedFleet } from './fixedFleet';
export { assignOwners, groupOwners, type Assignment } from './ownership';
