import { submitZoneOrder } from '../../measure/harness/submitZoneOrder';
import { type PlatformMode } from '../../standins';

import { type SoakFault } from './soakFault';

/** Suspends one gateway process, which resumes with a stale view. */
const pause: SoakFault = ({ fleet, random }) => {
  const index = random.integer(fleet.gateways.length);
  const gateway = fleet.gateways[index]!;
  gateway.signal('SIGSTOP');
  return Promise.resolve({
    subject: fleet.hosts[index]!.id,
    end: () => {
      gateway.signal('SIGCONT');
      return Promise.resolve();
    },
  });
};

function platformFault(mode: PlatformMode): SoakFault {
  return ({ fleet: { platform } }) => {
    platform.mode = mode;
    return Promise.resolve({
      subject: 'platform',
      end: () => {
        platform.mode = 'normal';
        return Promise.resolve();
      },
    });
  };
}

const zoneOut: SoakFault = async ({ fleet, random, faultNumber }) => {
  const host = fleet.hosts[random.integer(fleet.hosts.length)]!;
  const accepted = await submitZoneOrder(host, 'zone-out', host.zone, `soak-out-${faultNumber}`);
  return {
    subject: `${host.zone}, order ${accepted === null ? 'not accepted' : 'accepted'}`,
    end: async () => {
      await submitZoneOrder(host, 'zone-back', host.zone, `soak-back-${faultNumber}`);
    },
  };
};

/** Faults of gateways, of the platform and of whole zones, by name. */
export const FLEET_FAULTS: Readonly<Record<string, SoakFault>> = {
  pause,
  'configuration service down': platformFault('down'),
  'configuration service stale': platformFault('stale'),
  'configuration service partial': platformFault('partial'),
  'zone out': zoneOut,
};
