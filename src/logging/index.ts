export { type EventDefinition, type EventLevel } from './eventDefinition';
export { defineEvents } from './defineEvents';
export { EventLog, type EventFields } from './eventLog';
export { createLogger } from './createLogger';
export { type Decision } from './decision';
export { DecisionLog } from './decisionLog';
export { BufferedWriter } from './bufferedWriter';
export { LOGGING_EVENTS } from './events';
