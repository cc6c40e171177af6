import { type Moment } from '../runtime';

/** At `moment`, the newest configuration had this revision. */
export interface Proof {
  readonly revision: number;
  readonly moment: Moment;
}
