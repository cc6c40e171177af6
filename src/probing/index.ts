export { Prober } from './prober';
export { type ProbeContext } from './probeContext';
export { type ProbeTransport } from './probeTransport';
export { HttpProbeTransport } from './httpProbeTransport';
