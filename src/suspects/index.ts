export { Suspects, type SuspectsParts } from './suspects';
export { type CallIdentity, fingerprintOf, routeOf } from './fingerprint';
export { type TargetCrash } from './targetCrash';
export { CrashDetector } from './crashDetector';
export { CrashTable, CRASHES_TO_REFUSE } from './crashTable';
export { SuspectTable, type Suspicion, SUSPECT_CRASHES_TO_REFUSE } from './suspectTable';
export { SUSPECT_EVENTS } from './events';
