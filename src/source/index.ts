export { type CatalogSource } from './catalogSource';
export { type SourceError } from './sourceError';
export { type SourceState } from './sourceState';
export { CatalogReader, type CatalogReaderParts } from './catalogReader';
export { shouldRead, type SourceReport } from './shouldRead';
export { SOURCE_EVENTS } from './events';
