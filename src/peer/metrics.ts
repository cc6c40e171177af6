import { defineMetrics } from '../metrics';

/** Metrics of the peer module. */
export const PEER_METRICS = defineMetrics({
  refused: {
    name: 'peer.refused',
    kind: 'counter',
    unit: 'calls',
    description:
      'Control calls refused because of a wrong secret or an unsupported protocol version.',
  },
});
