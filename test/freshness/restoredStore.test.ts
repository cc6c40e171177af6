import { Err, Ok } from 'ts-results';

import { eraOf, joinRevision, Ledger } from '../../src/catalog';
import { type Proof } from '../../src/freshness/proof';
import { StoreConfirmer } from '../../src/freshness/storeConfirmer';
import { ManualClock, SeededRandom, SuspensionClock } from '../../src/runtime';

// Guards against a host that gets no proof any more when the restored store lacks the configuration: the revision of
// the one in force is of an older era for good.
test('the configuration of an older era is confirmed in the era of the store', async () => {
  const clock = new ManualClock();
  const time = () => clock.now();
  const ledger = new Ledger();
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const configuration = { version: 1, routes: [], services: [], limits, tenants: null };
  const fact = { kind: 'configuration', configuration } as const;
  ledger.apply({ after: null, asOf: 9, records: [{ key: 'configuration', revision: 9, fact }] });
  const asked: number[] = [];
  const proofs: Proof[] = [];
  const outcomes: string[] = [];
  const confirmer = new StoreConfirmer({
    ...{ clock, ledger, random: new SeededRandom(1) },
    suspensionClock: new SuspensionClock(clock, { timeOfDay: time, sinceBoot: time }),
    source: {
      confirm: (after) => {
        asked.push(after);
        const isOlder = eraOf(after) < 1;
        return Promise.resolve(
          isOlder
            ? Err({ kind: 'restored' as const, message: 'a newer era' })
            : Ok({ asOf: joinRevision(1, 5), records: [], newestChange: 0 }),
        );
      },
    },
    onProof: (proof) => proofs.push(proof),
    onOtherChange: () => {},
    onChanges: () => {},
    onEnd: (outcome) => outcomes.push(outcome),
  });
  await confirmer.confirm();
  expect(confirmer.mayStart()).toBe(true);
  await confirmer.confirm();
  await confirmer.confirm();
  expect(asked).toEqual([9, joinRevision(1, 0), joinRevision(1, 5)]);
  expect(outcomes).toEqual(['restored', 'confirmed', 'confirmed']);
  expect(proofs.map(({ revision }) => revision)).toEqual([9, 9]);
});
