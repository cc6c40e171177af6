/** Version of the peer protocol that this host uses. */
export const PROTOCOL_VERSION = 1;

/** Oldest version that is still supported, so that a fleet can be upgraded host by host. */
export const MINIMUM_PROTOCOL_VERSION = 1;
