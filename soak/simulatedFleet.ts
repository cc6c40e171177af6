import { Err, type Result } from 'ts-results';

import {
  type Acceptance,
  type Fleet,
  type FleetView,
  groupOwners,
  type InheritedState,
  type OwnedTarget,
  type Rejection,
} from '../src/fleet';
import { OperationIndex, type Sheet } from '../src/sheet';

/** A fleet whose view is set by the test, for runs of one owner in simulated time. */
export class SimulatedFleet implements Fleet {
  deadline = Number.POSITIVE_INFINITY;

  readonly zonesOut = new Set<string>();

  /** Owner of each target; targets that are not listed belong to `hostId`. */
  readonly ownerOf = new Map<string, string>();

  readonly usableFrom = new Map<string, number>();

  readonly inherited = new Map<string, InheritedState>();

  private current: FleetView | null = null;

  constructor(
    readonly hostId: string,
    private readonly sheet: Sheet,
  ) {}

  view(): FleetView {
    this.current ??= this.build();
    return this.current;
  }

  /** Rebuilds the view after a change of the fields above. */
  change(): FleetView {
    this.current = this.build();
    return this.current;
  }

  viewDeadline(): number {
    return this.deadline;
  }

  onChange(): () => void {
    return () => {};
  }

  submit(): Promise<Result<Acceptance, Rejection>> {
    return Promise.resolve(
      Err({ kind: 'not-ready', detail: 'a simulated fleet does not accept orders' }),
    );
  }

  private build(): FleetView {
    const { sheet, hostId } = this;
    const assignment = new Map(
      [...sheet.targets.keys()].map((id) => [id, this.ownerOf.get(id) ?? hostId]),
    );
    const owned = [...sheet.targets.values()]
      .filter((target) => assignment.get(target.target) === hostId)
      .map((target): [string, OwnedTarget] => [
        target.target,
        {
          target,
          usableFrom: this.usableFrom.get(target.target) ?? 0,
          inherited: this.inherited.get(target.target) ?? null,
          inService: !this.zonesOut.has(target.zone),
        },
      ]);
    return {
      hostId,
      sheet,
      record: {
        epoch: 1,
        ballot: { round: 0, hostId },
        sheetVersion: sheet.version,
        sheetFingerprint: sheet.fingerprint,
        members: [...sheet.hosts.keys()].sort(),
        zonesOut: [...this.zonesOut].sort(),
        orderId: 'simulated',
        reason: 'simulated',
      },
      operations: new OperationIndex(sheet),
      owners: groupOwners(sheet, assignment, [...this.zonesOut]),
      owned: new Map(owned),
    };
  }
}
