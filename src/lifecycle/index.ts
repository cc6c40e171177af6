export { Lifecycle } from './lifecycle';
export { CloseError } from './closeError';
