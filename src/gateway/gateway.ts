import { Err, Ok, type Result } from 'ts-results';

import { type Fleet } from '../fleet';
import {
  CallerListener,
  ConnectionPools,
  type CallHandler,
  Forwarder,
  type ForwarderContext,
  FORWARDING_EVENTS,
  ForwardingMetrics,
  IdempotencyKeyFilter,
  LoadShedder,
  RelayListener,
  type RequestLimits,
  SuspectCallFilter,
} from '../forwarding';
import { KeyClaims } from '../idempotency';
import { Lifecycle } from '../lifecycle';
import { type DecisionLog, type EventLog } from '../logging';
import { type MetricsSink, SilentSink } from '../metrics';
import { OutcomeRecorder } from '../outcomes';
import { type PeerTransport } from '../peer';
import { Router } from '../routing';
import { type Clock, type Random, runEvery } from '../runtime';
import { type GatewaySettings } from '../settings';
import { Suspects } from '../suspects';

import { GATEWAY_EVENTS } from './events';
import { listen, type ListenError } from './listen';
import { type RouterHandover } from './routerHandover';

/** Dependencies of a gateway besides its settings. */
export interface GatewayParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly decisions: DecisionLog;
  readonly fleet: Fleet;
  /** Receives the metrics; they are discarded when absent. */
  readonly metrics?: MetricsSink;
  /** Messages to peers; when absent, idempotency keys are forwarded without being claimed. */
  readonly transport?: Pick<PeerTransport, 'call' | 'handle'>;
  /** Limits on callers' requests; the defaults apply when absent. */
  readonly requestLimits?: RequestLimits;
  /** Reads the state of released targets from routing; absent for a fleet without handover. */
  readonly handover?: RouterHandover;
  /** Aborted by a stop, which ends the wait for ports; when absent, a port in use is an error. */
  readonly signal?: AbortSignal;
}

/** A running gateway. */
export interface Gateway {
  readonly callerPort: number;
  readonly relayPort: number;
  /** Outcomes of calls received from callers by this host, and violations of the outcome rules. */
  readonly outcomes: OutcomeRecorder;
  readonly router: Router;
  readonly suspects: Suspects;
  /** Number of calls in flight on this host, from callers and from other hosts. */
  callsInFlight(): number;
  /** Makes every further answer to a caller close its connection. */
  closeConnectionsWithAnswers(): void;
  /** Stops accepting connections from callers and closes idle ones. */
  stopAccepting(): void;
  /** Interrupts all calls in flight by closing the connections of callers and other hosts. */
  dropConnections(): void;
  /** Closes all resources in reverse order of opening. */
  close(): Promise<void>;
}

function createForwarderContext(
  settings: GatewaySettings,
  parts: GatewayParts,
  suspectCallFilter: SuspectCallFilter,
): ForwarderContext {
  const router = new Router(parts.fleet, parts.clock, parts.random, settings.policy);
  const loadShedder = new LoadShedder(parts.clock);
  const recorder = new OutcomeRecorder((violation) =>
    parts.events.emit(FORWARDING_EVENTS.outcomeViolated, { violation }),
  );
  parts.fleet.onChange((view) => router.applyView(view));
  parts.handover?.setRouter(router);
  return {
    loadShedder,
    recorder,
    metrics: new ForwardingMetrics(recorder, loadShedder, parts.metrics ?? new SilentSink()),
    observer: suspectCallFilter.observer,
    hostId: settings['host-id'],
    fleet: parts.fleet,
    router,
    clock: parts.clock,
    decisions: parts.decisions,
    targetPools: new ConnectionPools(),
    relay: {
      hostId: settings['host-id'],
      peerSecret: settings['peer-secret'],
      pools: new ConnectionPools(),
      clock: parts.clock,
      viewIsCurrent: () => router.viewIsCurrent(),
      medianMs: (service) => router.medianMs(service),
      recordOwnerState: (service, hostId, state) => router.applyPoolState(service, hostId, state),
    },
  };
}

const METRICS_FLUSH_INTERVAL_MS = 1000;

/** Creates the handler of callers' calls; calls with an idempotency key run only under a claim. */
function createCallHandler(
  { transport }: GatewayParts,
  context: ForwarderContext,
  suspectCallFilter: SuspectCallFilter,
  forwarder: Forwarder,
  lifecycle: Lifecycle,
): CallHandler {
  const run: CallHandler = (call) =>
    suspectCallFilter.run(call, (checked) => forwarder.runEntry(checked));
  if (transport === undefined) return run;
  const { hostId, fleet, clock } = context;
  const claims = new KeyClaims({ hostId, fleet, clock, transport });
  lifecycle.own('key claims', () => claims.close());
  const idempotencyKeyFilter = new IdempotencyKeyFilter(hostId, claims.client, run);
  return (call) => idempotencyKeyFilter.run(call);
}

/** Starts the listeners of one gateway process. */
export async function startGateway(
  settings: GatewaySettings,
  parts: GatewayParts,
): Promise<Result<Gateway, ListenError>> {
  const lifecycle = new Lifecycle();
  const suspects = new Suspects({
    hostId: settings['host-id'],
    fleet: parts.fleet,
    clock: parts.clock,
    events: parts.events,
    transport: parts.transport ?? null,
  });
  const suspectCallFilter = new SuspectCallFilter(suspects);
  const context = createForwarderContext(settings, parts, suspectCallFilter);
  lifecycle.own('target connections', () => context.targetPools.close());
  lifecycle.own('relay connections', () => context.relay.pools.close());
  const forwarder = new Forwarder(context);
  const relay = new RelayListener(context, forwarder, parts.events);
  const callers = new CallerListener(
    context,
    createCallHandler(parts, context, suspectCallFilter, forwarder, lifecycle),
    parts.events,
    parts.requestLimits,
  );
  context.loadShedder.start();
  lifecycle.own('event-loop samples', () => context.loadShedder.stop());
  lifecycle.own(
    'metrics flush',
    runEvery(parts.clock, METRICS_FLUSH_INTERVAL_MS, () => context.metrics.flush()),
  );
  const { address } = settings;
  const { clock, events, signal } = parts;
  const wait = signal === undefined ? undefined : { clock, events, signal };
  const relayPort = await listen(relay.server, address, settings['relay-port'], lifecycle, wait);
  const callerPort = relayPort.ok
    ? await listen(callers.server, address, settings['caller-port'], lifecycle, wait)
    : relayPort;
  if (callerPort.err || relayPort.err) {
    await lifecycle.close();
    return Err((callerPort.err ? callerPort.val : relayPort.val) as ListenError);
  }
  parts.events.emit(GATEWAY_EVENTS.started, { port: callerPort.val });
  return Ok({
    callerPort: callerPort.val,
    relayPort: relayPort.val,
    outcomes: context.recorder,
    router: context.router,
    suspects,
    callsInFlight: () => context.loadShedder.callsHeld(),
    closeConnectionsWithAnswers: () => callers.closeConnectionsWithAnswers(),
    stopAccepting: () => {
      callers.server.close();
      callers.server.closeIdleConnections();
    },
    dropConnections: () => {
      callers.server.closeAllConnections();
      relay.server.closeAllConnections();
    },
    close: async () => {
      const errors = await lifecycle.close();
      for (const error of errors) {
        parts.events.emit(GATEWAY_EVENTS.closeFailed, {
          resource: error.resource,
          error: error.message,
        });
      }
    },
  });
}
