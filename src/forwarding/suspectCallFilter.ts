import { Err } from 'ts-results';

import { notRun } from '../outcomes';
import { type CallIdentity, fingerprintOf, type Suspects } from '../suspects';

import { type AttemptObserver } from './attemptObserver';
import { type Call } from './call';
import { type CallHandler } from './callHandler';
import { type PlacementResult } from './placementResult';

function identityOf(call: Call): CallIdentity {
  const key = call.headers['idempotency-key'];
  return {
    service: call.traits.service,
    method: call.method,
    path: call.path,
    key: typeof key === 'string' ? key : null,
    body: call.body.kind === 'buffered' ? call.body.bytes : null,
  };
}

/** Refuses calls known to crash targets (queries of death) and marks suspected ones. */
export class SuspectCallFilter {
  /** Reports the results of attempts to the detection of crash-inducing calls. */
  readonly observer: AttemptObserver;

  constructor(private readonly suspects: Suspects) {
    const { crashDetector } = suspects;
    this.observer = {
      unreachable: (target) => crashDetector.targetUnreachable(target),
      answered: (target, instance) => crashDetector.targetAnswered(target, instance),
      lost: (call, target) => {
        const identity = identityOf(call);
        crashDetector.connectionLost({
          service: identity.service,
          method: identity.method,
          path: identity.path,
          fingerprint: fingerprintOf(identity),
          target,
          callId: call.traits.callId,
          isolated: call.traits.suspect !== null,
        });
      },
    };
  }

  /** Runs a call with `next` unless it is known to crash targets. */
  run(call: Call, next: CallHandler): Promise<PlacementResult> {
    if (this.suspects.isEmpty()) return next(call);
    const suspicion = this.suspects.check(identityOf(call));
    if (suspicion === null) return next(call);
    if (suspicion.refused) {
      const detail = 'targets that ran this call died; it is refused for now';
      return Promise.resolve(Err({ outcome: notRun('crashes-targets', detail), target: null }));
    }
    return next({ ...call, traits: { ...call.traits, suspect: suspicion.fingerprint } });
  }
}
