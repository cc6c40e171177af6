// Each name adds its own series to the metrics.
const MAX_NAMED_TENANTS = 100;
const SHARED_LABEL = '(others)';

/** Labels of tenants in metrics: the first hundred by name, all others together. */
export class TenantLabels {
  private readonly names = new Set<string>();

  /** Label of a tenant; stays the same while the process runs. */
  of(name: string): string {
    if (this.names.has(name)) return name;
    if (this.names.size >= MAX_NAMED_TENANTS) return SHARED_LABEL;
    this.names.add(name);
    return name;
  }
}
