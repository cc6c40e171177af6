export { Suspects, type SuspectsParts } from './suspects';
export { type CallIdentity, fingerprintOf, routeOf } from './fingerprint';
export { type Death } from './death';
export { DeathWatch } from './deathWatch';
export { CrashTable, CRASHES_TO_REFUSE } from './crashTable';
export { SuspectTable, type Suspicion, DEATHS_TO_REFUSE } from './suspectTable';
export { SUSPECT_EVENTS } from './events';
