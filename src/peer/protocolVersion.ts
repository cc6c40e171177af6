/** Version of the peer protocol that this gateway speaks. */
export const PROTOCOL_VERSION = 1;

/** Oldest version that is still served, so that a fleet can be upgraded host by host. */
export const MINIMUM_PROTOCOL = 1;
