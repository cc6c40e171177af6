export { type TargetReport, type TargetSight } from './targetReport';
export { type TargetKnowledge } from './targetKnowledge';
export { KnowledgeTable, USUAL_PACE } from './knowledgeTable';
export { type FlightCounts } from './flightCounts';
export { FlightTable } from './flightTable';
export { FlightOutbox, type FlightSink } from './flightOutbox';
export { ReportOutbox, type ReportSink } from './reportOutbox';
export { proberOf } from './proberOf';
export { WorkEstimates } from './workEstimates';
