export { runBalancer } from './runBalancer';
export { type BalancerCommand } from './balancerCommand';
export { type BalancerAdapter } from './balancerAdapter';
export { type BalancerParts } from './balancerParts';
export { Balancer } from './balancer';
export { BALANCER_EVENTS } from './events';
export { BALANCER_METRICS } from './metrics';
export { callShare, type FleetSize } from './callShare';
