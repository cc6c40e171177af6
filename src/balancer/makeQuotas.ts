import { type Exchange } from '../exchange';
import { Quotas } from '../quota';

import { type BalancerParts } from './balancerParts';
import { ipOf } from './ipOf';

const MS_PER_SECOND = 1000;

/** What the quotas of tenants need beside the parts of the balancer. */
export interface QuotaSources {
  readonly exchange: Exchange;
  readonly isStopping: () => boolean;
}

/** The quotas of tenants, as the settings limit them. */
export function makeQuotas(parts: BalancerParts, { exchange, isStopping }: QuotaSources): Quotas {
  const { clock, random, events, metrics, settings } = parts;
  const { membership } = exchange;
  const self = {
    id: settings['host-id'],
    zone: settings.zone,
    ip: ipOf(settings['control-address']),
  };
  return new Quotas({
    ...{ clock, random, events, metrics },
    rules: {
      windowMs: settings['quota-window-s'] * MS_PER_SECOND,
      overage: settings['quota-overage'],
      slack: settings['quota-slack'],
      hasStrictRevocation: settings['strict-revocation'],
    },
    view: {
      ...{ self, zones: settings.zones, isLeaving: isStopping },
      hosts: () => membership.live(),
      liveHostCount: () => membership.liveHostCount(),
      maxLiveHostCount: () => membership.maxLiveHostCount(),
    },
    send: (ip, message) => exchange.sendQuotaMessage(ip, message),
  });
}
