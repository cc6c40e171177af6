/** The IP of an address with a port. */
export function ipOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}
