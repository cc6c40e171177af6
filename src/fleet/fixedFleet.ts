import { Err, type Result } from 'ts-results';

import { OperationIndex, type Sheet } from '../sheet';

import { type Fleet } from './fleet';
import { type FleetView } from './fleetView';
import { type Acceptance, type Rejection } from './order';
import { assignOwners, groupOwners } from './ownership';

/**
 * A fleet that never changes: all hosts of the sheet are members, and ownership follows from the
 * sheet alone. It is meant for library users with one gateway, for tests and for measurements. With
 * several hosts, all compute the same owners, but there is no consensus, failure detection or
 * handover: the targets of a failed host stay with it, and a view never expires.
 */
export class FixedFleet implements Fleet {
  private readonly current: FleetView;

  constructor(hostId: string, sheet: Sheet) {
    const members = [...sheet.hosts.keys()].sort();
    const assignment = assignOwners(sheet, members);
    // A target has no previous owner: it is usable at once (`usableFrom` 0) and inherits no state.
    const owned = [...sheet.targets.values()]
      .filter((target) => assignment.owners.get(target.target) === hostId)
      .map((target) => ({ target, usableFrom: 0, inherited: null, inService: true }));
    this.current = Object.freeze({
      hostId,
      sheet,
      record: {
        epoch: 1,
        ballot: { round: 0, hostId },
        sheetVersion: sheet.version,
        sheetFingerprint: sheet.fingerprint,
        members,
        zonesOut: [],
        orderId: 'fixed',
        reason: 'fixed membership',
      },
      operations: new OperationIndex(sheet),
      owners: groupOwners(sheet, assignment.owners, []),
      owned: new Map(owned.map((ownedTarget) => [ownedTarget.target.target, ownedTarget])),
    });
  }

  view(): FleetView {
    return this.current;
  }

  viewDeadline(): number {
    return Number.POSITIVE_INFINITY;
  }

  onChange(): () => void {
    return () => {};
  }

  submit(): Promise<Result<Acceptance, Rejection>> {
    return Promise.resolve(Err({ kind: 'not-ready', detail: 'a fixed fleet takes no orders' }));
  }
}
