import {
  type CatalogRecord,
  type Configuration,
  decodeChanges,
  encodeChanges,
  Ledger,
} from '../../src/catalog';
import { SeededRandom } from '../../src/runtime';

function configuration(version: number): Configuration {
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: [], services: [], limits };
}

function configurationRecord(revision: number, version: number | null): CatalogRecord {
  const fact =
    version === null
      ? null
      : ({ kind: 'configuration', configuration: configuration(version) } as const);
  return { key: 'configuration', revision, fact };
}

function target(id: string, revision: number): CatalogRecord {
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
  // Guards against a configuration that goes back when an old reading or a late message arrives.
  it('never goes back', () => {
    const ledger = new Ledger();
    ledger.apply({ after: null, asOf: 9, records: [configurationRecord(9, 7)] });
    ledger.apply({ after: null, asOf: 5, records: [configurationRecord(5, 4)] });
    ledger.apply({ after: 9, asOf: 12, records: [configurationRecord(11, 6)] });
    ledger.apply({ after: 12, asOf: 13, records: [configurationRecord(13, null)] });
    expect(ledger.catalog().configuration?.version).toBe(7);
    expect(ledger.catalog().asOf).toBe(13);
  });

  // Guards against a deleted target that returns with a message that was under way.
  it('does not bring back what was deleted later', () => {
    const ledger = new Ledger();
    ledger.apply({ after: null, asOf: 3, records: [target('t', 3)] });
    ledger.apply({ after: 3, asOf: 4, records: [{ key: 'target/t', revision: 4, fact: null }] });
    ledger.apply({ after: 2, asOf: 3, records: [target('t', 3)] });
    expect(ledger.catalog().targets.size).toBe(0);
    ledger.apply({ after: 4, asOf: 5, records: [target('t', 5)] });
    expect(ledger.catalog().targets.size).toBe(1);
  });

  // Guards against targets that stay although the history in which they were deleted is gone.
  it('drops what a whole reading no longer has', () => {
    const ledger = new Ledger();
    ledger.apply({ after: null, asOf: 3, records: [target('a', 2), target('b', 3)] });
    ledger.apply({ after: null, asOf: 8, records: [target('b', 3)] });
    expect([...ledger.catalog().targets.keys()]).toEqual(['b']);
  });

  // Guards against a host that claims to know everything after it got only the latest changes.
  it('does not claim revisions that it has a gap before', () => {
    const ledger = new Ledger();
    ledger.apply({ after: 40, asOf: 41, records: [target('t', 41)] });
    expect(ledger.catalog().asOf).toBe(0);
    expect(ledger.catalog().targets.size).toBe(1);
  });

  // Guards against hosts that end up with different catalogs when messages are lost, doubled and late.
  it.each([1, 2, 3, 4, 5, 6])('converges over lossy exchange, seed %d', (seed) => {
    const random = new SeededRandom(seed);
    const source = new Ledger();
    const others = [new Ledger(), new Ledger(), new Ledger()];
    const late: { to: Ledger; text: string }[] = [];
    let revision = 0;
    for (let step = 0; step < 400; step += 1) {
      revision += 1;
      const id = `t${random.integer(12)}`;
      const record =
        random.next() < 0.4 ? { key: `target/${id}`, revision, fact: null } : target(id, revision);
      source.apply({ after: revision - 1, asOf: revision, records: [record] });
      for (const other of others) {
        const before = other.catalog().asOf;
        const text = encodeChanges(source.changesAfter(before), 0);
        const fate = random.next();
        if (fate < 0.3) other.apply(decodeChanges(text, 0));
        else if (fate < 0.5) late.push({ to: other, text });
        if (late.length > 0 && random.next() < 0.3) {
          const [message] = late.splice(random.integer(late.length), 1);
          message!.to.apply(decodeChanges(message!.text, 0));
        }
        expect(other.catalog().asOf).toBeGreaterThanOrEqual(before);
      }
    }
    for (const other of others) {
      other.apply(decodeChanges(encodeChanges(source.changesAfter(other.catalog().asOf), 0), 0));
      expect([...other.catalog().targets.entries()].sort()).toEqual(
        [...source.catalog().targets.entries()].sort(),
      );
    }
  });
});
