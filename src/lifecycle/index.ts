export { Lifecycle } from './lifecycle';
export { CloseError } from './closeError';
export { Supervisor } from './supervisor';
export { type TaskFailure } from './taskFailure';
