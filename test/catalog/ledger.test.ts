import {
  type CatalogRecord,
  type Configuration,
  decodeChanges,
  encodeChanges,
  joinRevision,
  Ledger,
} from '../../src/catalog';
import { SeededRandom } from '../../src/runtime';

function configuration(version: number): Configuration {
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: [], services: [], limits, tenants: null };
}

function configurationRecord(revision: number, version: number | null): CatalogRecord {
  const fact =
    version === null
      ? null
      : ({ kind: 'configuration', configuration: configuration(version) } as const);
  return { key: 'configuration', revision, fact };
}

function targetRecord(id: string, revision: number): CatalogRecord {
  return {
    key: `target/${id}`,
    revision,
    fact: {
      kind: 'target',
      target: {
        ...{ id, service: 's', address: '10.0.0.1:1', zone: 'a', slots: 3, state: 'ready' },
        ...{ coldUntil: 0, startedAt: revision },
      },
    },
  };
}

describe('the ledger', () => {
  // Guards against a stale reading or a delayed message that reverts the configuration.
  it('never reverts to an older configuration', () => {
    const ledger = new Ledger();
    ledger.apply({ after: null, asOf: 9, records: [configurationRecord(9, 7)] });
    ledger.apply({ after: null, asOf: 5, records: [configurationRecord(5, 4)] });
    ledger.apply({ after: 9, asOf: 12, records: [configurationRecord(11, 6)] });
    ledger.apply({ after: 12, asOf: 13, records: [configurationRecord(13, null)] });
    expect(ledger.catalog().configuration?.version).toBe(7);
    expect(ledger.catalog().asOf).toBe(13);
  });

  // Guards against calls that are sent to a target which drains, since a restored copy is older than its leaving;
  // and against a target that stays unused after it has started again.
  it('keeps a target leaving for the same start in a newer era', () => {
    const ledger = new Ledger();
    const stateIn = (state: 'ready' | 'leaving', startedAt: number, revision: number) => {
      const { key, fact } = targetRecord('x', revision);
      if (fact?.kind !== 'target') throw new Error('not a target');
      const changed = { ...fact.target, state, startedAt };
      const record: CatalogRecord = { key, revision, fact: { kind: 'target', target: changed } };
      ledger.apply({ after: null, asOf: revision, records: [record] });
      return ledger.catalog().targets.get('x')?.state;
    };
    expect(stateIn('leaving', 7, 50)).toBe('leaving');
    expect(stateIn('ready', 7, joinRevision(1, 40))).toBe('leaving');
    expect(stateIn('leaving', 7, joinRevision(1, 60))).toBe('leaving');
    expect(stateIn('ready', 8, joinRevision(2, 40))).toBe('ready');
  });

  // Guards against a part of a host that keeps an old catalog, since another one failed to apply the new
  // one, and against a part that failed once and keeps it until the next change.
  it('gives a new catalog to all listeners even if one of them throws', () => {
    const ledger = new Ledger();
    const received: number[] = [];
    let hasFailed = false;
    ledger.onChange(() => {
      if (hasFailed) return;
      hasFailed = true;
      throw new Error('injected');
    });
    ledger.onChange(({ targets }) => received.push(targets.size));
    const changes = { after: null, asOf: 3, records: [targetRecord('t', 3)] };
    expect(() => ledger.apply(changes)).toThrow('injected');
    expect(received).toEqual([1]);
    ledger.apply(changes);
    ledger.apply(changes);
    expect(received).toEqual([1, 1]);
  });

  // Guards against a delayed message that restores a deleted target.
  it('does not restore a target from a record older than its deletion', () => {
    const ledger = new Ledger();
    ledger.apply({ after: null, asOf: 3, records: [targetRecord('t', 3)] });
    ledger.apply({ after: 3, asOf: 4, records: [{ key: 'target/t', revision: 4, fact: null }] });
    ledger.apply({ after: 2, asOf: 3, records: [targetRecord('t', 3)] });
    expect(ledger.catalog().targets.size).toBe(0);
    ledger.apply({ after: 4, asOf: 5, records: [targetRecord('t', 5)] });
    expect(ledger.catalog().targets.size).toBe(1);
  });

  // Guards against a target that left before this host started: a delayed message of another host must
  // not bring it back, although this host has no record of its deletion.
  it('does not accept a record older than its catalog for a key that it does not know', () => {
    const ledger = new Ledger();
    ledger.apply({ after: null, asOf: 9, records: [targetRecord('stays', 4)] });
    ledger.apply({ after: 6, asOf: 7, records: [targetRecord('left', 7)] });
    expect([...ledger.catalog().targets.keys()]).toEqual(['stays']);
  });

  // Guards against a pulled catalog that lacks the newest deletion, so that the host which pulled it
  // stays behind its source and pulls again and again.
  it('sends recent deletions also with the whole catalog', () => {
    const ledger = new Ledger();
    ledger.apply({ after: null, asOf: 5, records: [targetRecord('t', 3), targetRecord('u', 4)] });
    ledger.apply({ after: 5, asOf: 5, records: [{ key: 'target/t', revision: 8, fact: null }] });
    const other = new Ledger();
    other.apply(ledger.changesAfter(0));
    expect(other.newestRevision()).toBe(8);
    expect([...other.catalog().targets.keys()]).toEqual(['u']);
  });

  // Guards against targets that stay when the history with their deletion is no longer available.
  it('drops targets that are missing from a complete reading', () => {
    const ledger = new Ledger();
    ledger.apply({ after: null, asOf: 3, records: [targetRecord('a', 2), targetRecord('b', 3)] });
    ledger.apply({ after: null, asOf: 8, records: [targetRecord('b', 3)] });
    expect([...ledger.catalog().targets.keys()]).toEqual(['b']);
  });

  // Guards against a host that reports a revision as complete although it received only the latest
  // changes.
  it('does not report a revision as complete after a gap', () => {
    const ledger = new Ledger();
    ledger.apply({ after: 40, asOf: 41, records: [targetRecord('t', 41)] });
    expect(ledger.catalog().asOf).toBe(0);
    expect(ledger.catalog().targets.size).toBe(1);
  });

  // Guards against hosts whose catalogs stay different after messages were lost, duplicated and
  // delayed.
  it.each([1, 2, 3, 4, 5, 6])('converges when messages are lost and delayed, seed %d', (seed) => {
    const random = new SeededRandom(seed);
    const source = new Ledger();
    const others = [new Ledger(), new Ledger(), new Ledger()];
    const delayed: { to: Ledger; text: string }[] = [];
    let revision = 0;
    for (let step = 0; step < 400; step += 1) {
      revision += 1;
      const id = `t${random.integer(12)}`;
      const record =
        random.next() < 0.4
          ? { key: `target/${id}`, revision, fact: null }
          : targetRecord(id, revision);
      source.apply({ after: revision - 1, asOf: revision, records: [record] });
      for (const other of others) {
        const before = other.catalog().asOf;
        const text = encodeChanges(source.changesAfter(before), 0);
        const draw = random.next();
        if (draw < 0.3) other.apply(decodeChanges(text, 0)!);
        else if (draw < 0.5) delayed.push({ to: other, text });
        if (delayed.length > 0 && random.next() < 0.3) {
          const [message] = delayed.splice(random.integer(delayed.length), 1);
          message!.to.apply(decodeChanges(message!.text, 0)!);
        }
        expect(other.catalog().asOf).toBeGreaterThanOrEqual(before);
      }
    }
    for (const other of others) {
      other.apply(decodeChanges(encodeChanges(source.changesAfter(other.catalog().asOf), 0), 0)!);
      expect([...other.catalog().targets.entries()].sort()).toEqual(
        [...source.catalog().targets.entries()].sort(),
      );
    }
  });
});
