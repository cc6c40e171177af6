const DEPTH_MEMBER = 'limpetknot-depth';
// Larger and malformed depths count as this one; a gateway never writes a larger number.
const MAX_DEPTH = 99;

function isDepthMember(member: string): boolean {
  return member.split('=', 1)[0]!.trim() === DEPTH_MEMBER;
}

/** Reads the depth of a call from its W3C `baggage` header; 0 for a call not made by a target. */
export function readDepth(baggage: string | undefined): number {
  if (baggage === undefined || !baggage.includes(DEPTH_MEMBER)) return 0;
  const members = baggage.split(',').filter(isDepthMember);
  const depths = members.map((member) => {
    const value = member.slice(member.indexOf('=') + 1).split(';', 1)[0]!;
    return /^\s*\d{1,9}\s*$/.test(value) ? Number(value) : MAX_DEPTH;
  });
  return depths.length === 0 ? 0 : Math.min(MAX_DEPTH, Math.max(...depths));
}

/** Builds the `baggage` header for a target: the caller's members and the depth of nested calls. */
export function writeBaggage(baggage: string | undefined, depth: number): string {
  const depthMember = `${DEPTH_MEMBER}=${Math.min(MAX_DEPTH, depth + 1)}`;
  if (baggage === undefined || baggage === '') return depthMember;
  const others = baggage.split(',').filter((member) => !isDepthMember(member));
  return [...others, depthMember].join(',');
}
