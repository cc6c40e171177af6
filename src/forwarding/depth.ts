const DEPTH_MEMBER = 'limpetknot-depth';
// Deeper chains count as this deep; a longer number is not one that a gateway wrote.
const LARGEST_DEPTH = 99;

function isDepthMember(member: string): boolean {
  return member.split('=', 1)[0]!.trim() === DEPTH_MEMBER;
}

/** Depth of a call from its W3C `baggage` header: 0 for a call that no target made. */
export function readDepth(baggage: string | undefined): number {
  if (baggage === undefined || !baggage.includes(DEPTH_MEMBER)) return 0;
  const members = baggage.split(',').filter(isDepthMember);
  const depths = members.map((member) => {
    const value = member.slice(member.indexOf('=') + 1).split(';', 1)[0]!;
    return /^\s*\d{1,9}\s*$/.test(value) ? Number(value) : LARGEST_DEPTH;
  });
  return depths.length === 0 ? 0 : Math.min(LARGEST_DEPTH, Math.max(...depths));
}

/** The `baggage` header for a target: the caller's members, and the depth of the target's calls. */
export function writeBaggage(baggage: string | undefined, depth: number): string {
  const own = `${DEPTH_MEMBER}=${Math.min(LARGEST_DEPTH, depth + 1)}`;
  if (baggage === undefined || baggage === '') return own;
  const others = baggage.split(',').filter((member) => !isDepthMember(member));
  return [...others, own].join(',');
}
