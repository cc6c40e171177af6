import { type ModelKind, type ModelOptions, type ModelService } from './modelOptions';

type Deployment = Omit<ModelOptions, 'seed' | 'disturbances' | 'seconds' | 'policy'>;

function courseService(name: string, targets: readonly number[]): ModelService {
  return {
    ...{
      name,
      targets,
      slots: 3,
      queueLimit: 6,
      whenFull: 'reset',
      kneeFactor: 1.7,
      kneeShare: 0.8,
    },
    noise: { share: 0.35, factor: 7, everyMs: 500 },
  };
}

function roundService(name: string, targets: readonly number[]): ModelService {
  return {
    ...{ name, targets, slots: 6, queueLimit: 24, whenFull: 'refuse', kneeFactor: 1, kneeShare: 1 },
    noise: { share: 0.25, factor: 7, everyMs: 500 },
  };
}

/** Course bookings: few small targets that slow down when they are full. */
export const COURSES: Deployment = {
  zones: ['a', 'b', 'c'],
  hosts: [5, 5, 3],
  services: [courseService('calendar', [5, 5, 4]), courseService('booking', [2, 2, 2])],
  kinds: [
    {
      ...{ name: 'calendar-read', service: 'calendar', perSecond: 80, workMs: 120 },
      ...{ objectiveMs: 300, timeLimitMs: 800, isIdempotent: true, priority: 2, retries: 1 },
    },
    {
      ...{ name: 'trip-pay', service: 'calendar', perSecond: 10, workMs: 84 },
      ...{ objectiveMs: 250, timeLimitMs: 900, isIdempotent: false, priority: 0, retries: 1 },
    },
    {
      ...{ name: 'seat-book', service: 'booking', perSecond: 27, workMs: 160 },
      ...{ objectiveMs: 400, timeLimitMs: 1000, isIdempotent: false, priority: 1, retries: 1 },
    },
  ],
};

/** Gully rounds: larger targets that queue many calls. */
export const ROUNDS: Deployment = {
  zones: ['a', 'b', 'c'],
  hosts: [6, 6, 5],
  services: [roundService('round-sheets', [4, 6, 6]), roundService('closeout-log', [5, 3, 3])],
  kinds: [
    {
      ...{ name: 'pit-lookup', service: 'round-sheets', perSecond: 260, workMs: 94 },
      ...{ objectiveMs: 250, timeLimitMs: 1200, isIdempotent: true, priority: 2, retries: 2 },
    },
    {
      ...{ name: 'flood-watch', service: 'round-sheets', perSecond: 60, workMs: 38 },
      ...{ objectiveMs: 120, timeLimitMs: 700, isIdempotent: true, priority: 1, retries: 2 },
    },
    {
      ...{ name: 'pit-closeout', service: 'closeout-log', perSecond: 130, workMs: 120 },
      ...{ objectiveMs: 300, timeLimitMs: 1500, isIdempotent: false, priority: 1, retries: 2 },
    },
  ],
};

function saleService(name: string, targets: readonly number[]): ModelService {
  return {
    ...{ name, targets, slots: 2, queueLimit: 4, whenFull: 'refuse', kneeFactor: 1, kneeShare: 1 },
    noise: { share: 0.25, factor: 7, everyMs: 500 },
  };
}

/** Sales: urgent lookups and sales, with uploads that run at the targets of both and can wait. */
export const SALES: Deployment = {
  zones: ['a', 'b'],
  hosts: [10, 10],
  hasInFlightBroadcasts: false,
  services: [saleService('lookups', [5, 5]), saleService('sales', [5, 5])],
  kinds: [
    {
      ...{ name: 'lookup', service: 'lookups', perSecond: 55, workMs: 69 },
      ...{ objectiveMs: 231, timeLimitMs: 900, isIdempotent: true, priority: 0, retries: 1 },
    },
    {
      ...{ name: 'sale', service: 'sales', perSecond: 42, workMs: 90 },
      ...{ objectiveMs: 283, timeLimitMs: 1100, isIdempotent: false, priority: 1, retries: 1 },
    },
    {
      ...{ name: 'upload', service: 'lookups', otherServices: ['sales'], perSecond: 80 },
      ...{ workMs: 83, objectiveMs: 1500, timeLimitMs: 4000, isIdempotent: false, priority: 2 },
      retries: 1,
    },
  ],
};

function orderKind(name: string, tenant: string, perSecond: number, priority: number): ModelKind {
  return {
    ...{ name, tenant, perSecond, priority, service: 'orders', workMs: 80 },
    ...{ objectiveMs: 400, timeLimitMs: 1000, isIdempotent: false, retries: 1 },
  };
}

/** Orders: tenants that send very different numbers of calls, of two priorities, to one service. */
export const ORDERS: Deployment = {
  zones: ['a', 'b'],
  hosts: [5, 5],
  services: [saleService('orders', [5, 5])],
  kinds: [
    orderKind('large-order', 'large', 100, 0),
    orderKind('middle-order', 'middle', 25, 0),
    orderKind('small-order', 'small', 12, 0),
    orderKind('report', 'reports', 20, 1),
  ],
};
