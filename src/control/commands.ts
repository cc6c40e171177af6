import { type Command } from './command';
import { checkSheet, loadSheet, showSheet } from './sheetCommands';
import { showStatus } from './showStatus';
import { showTenants } from './showTenants';
import { takeZoneBack, takeZoneOut } from './zoneCommands';

/** Commands by name. */
export const COMMANDS: Readonly<Record<string, Command>> = {
  'sheet check': {
    argument: 'FILE',
    takesForce: false,
    description: 'Checks a sheet and names all mistakes by row and field; asks no gateway.',
    run: checkSheet,
  },
  'sheet load': {
    argument: 'FILE',
    takesForce: false,
    description: 'Brings a sheet into force, also while the configuration service is down.',
    run: loadSheet,
  },
  'sheet show': {
    argument: '',
    takesForce: false,
    description: 'Prints the sheet in force.',
    run: showSheet,
  },
  'zone out': {
    argument: 'ZONE',
    takesForce: true,
    description: 'Takes an availability zone out of service.',
    run: takeZoneOut,
  },
  'zone back': {
    argument: 'ZONE',
    takesForce: false,
    description: 'Takes an availability zone back into service.',
    run: takeZoneBack,
  },
  status: {
    argument: '',
    takesForce: false,
    description: 'Shows zones, gateways, targets and open warnings.',
    run: showStatus,
  },
  tenants: {
    argument: 'ADDRESS:PORT',
    takesForce: false,
    description:
      'Shows how long each host of the balancer may use keys, and the quotas of tenants summed over ' +
      'the hosts; asks the host with this control address and all that are listed.',
    run: showTenants,
  },
};
