export { SoakFleet, type SoakFleetOptions } from './soakFleet';
