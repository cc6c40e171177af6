export { main } from './main';
export { runControl } from './runControl';
export { type ControlIo } from './controlIo';
export { EXIT } from './exitCode';
