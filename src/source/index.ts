export { type CatalogSource } from './catalogSource';
export { type SourceError } from './sourceError';
export { type SourceState } from './sourceState';
export { CatalogReader, type CatalogReaderParts } from './catalogReader';
export { type SourceReport } from './sourceReport';
export { isZoneReader } from './isZoneReader';
export { mustRead, type ReadingConditions } from './mustRead';
export { SOURCE_EVENTS } from './events';
