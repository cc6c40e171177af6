export { type Clock } from './clock';
export { type Timer } from './timer';
export { SystemClock } from './systemClock';
export { ManualClock } from './manualClock';
export { waitUntil } from './waitUntil';
export { runEvery } from './runEvery';
export { type Random } from './random';
export { SeededRandom } from './seededRandom';
export { rendezvousChoice, rendezvousOrder } from './rendezvous';
