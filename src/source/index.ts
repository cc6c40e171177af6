export { type CatalogSource } from './catalogSource';
export { type SourceError } from './sourceError';
export { type SourceState } from './sourceState';
export { CatalogReader, type CatalogReaderParts } from './catalogReader';
export { type SourceReport } from './sourceReport';
export { shouldRead } from './shouldRead';
export { mustRead, type ReadingNeeds } from './mustRead';
export { SOURCE_EVENTS } from './events';
