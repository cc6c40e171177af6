import { type MetricDefinition } from '../../src';

import { type CatalogueModule } from './catalogue';
import { table } from './table';

/** Page docs/metrics.md. */
export function metricsPage(modules: readonly CatalogueModule<MetricDefinition>[]): string {
  const sections = modules.map(({ module, definitions }) => {
    const rows = definitions.map(({ name, kind, unit, description }) => [
      `\`limpetknot.${name}\``,
      kind,
      unit,
      description,
    ]);
    return `## ${module}\n\n${table(['metric', 'kind', 'unit', 'meaning'], rows)}\n`;
  });
  return [
    '# Metrics\n',
    'Written by `npm run docs` from the `metrics.ts` of each module. A gateway sends them as StatsD',
    'datagrams to `--statsd-address`.\n',
    ...sections,
  ].join('\n');
}
