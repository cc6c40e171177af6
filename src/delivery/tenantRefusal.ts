/** Why a call is not sent to a target, by its key and its tenant. */
export type TenantRefusal =
  /** The configuration may be out of date, so that no key may be used. */
  | 'staleKeys'
  /** The key is unknown, and the configuration may be out of date. */
  | 'unknownKey'
  /** The limit of the tenant is used up. */
  | 'quotaExceeded'
  /** Whether the limit of the tenant is used up could not be found out. */
  | 'quotaUnknown';
