import { Err, type Result } from 'ts-results';

import { OperationIndex, type Sheet } from '../sheet';

import { type Fleet } from './fleet';
import { type FleetView } from './fleetView';
import { type Acceptance, type Rejection } from './order';
import { assignOwners, groupOwners } from './ownership';

/**
 * A fleet that never changes: all hosts of the sheet are members. It is meant for library users
 * with one gateway, for tests and for the comparison policies, and gives no failure guarantees.
 */
export class FixedFleet implements Fleet {
  private readonly current: FleetView;

  constructor(hostId: string, sheet: Sheet) {
    const members = [...sheet.hosts.keys()].sort();
    const assignment = assignOwners(sheet, members);
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
      owned: new Map(owned.map((each) => [each.target.target, each])),
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
