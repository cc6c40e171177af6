import { readdirSync, statSync } from 'node:fs';
import { join } from 'node:path';

/** Definitions of one kind that a module exports. */
export interface CatalogueModule<Definition> {
  readonly module: string;
  readonly definitions: readonly Definition[];
}

async function readTables(path: string): Promise<readonly object[]> {
  const exports = (await import(path)) as Record<string, object>;
  // A CommonJS module also appears under `default` and `module.exports`.
  return Object.entries(exports)
    .filter(([name]) => /^[A-Z][A-Z_]*$/.test(name))
    .map(([, table]) => table);
}

/** Returns the tables that the files `events` or `...Events` (or `metrics`) of each module export. */
export async function readCatalogue<Definition>(
  source: string,
  kind: 'events' | 'metrics',
): Promise<readonly CatalogueModule<Definition>[]> {
  const fileNamePattern = new RegExp(`^([a-z][A-Za-z]*)?${kind}\\.(ts|js)$`, 'i');
  const modules: CatalogueModule<Definition>[] = [];
  for (const module of readdirSync(source).sort()) {
    const folder = join(source, module);
    if (!statSync(folder).isDirectory()) continue;
    const files = readdirSync(folder).filter((name) => fileNamePattern.test(name));
    const tables = await Promise.all(files.sort().map((name) => readTables(join(folder, name))));
    const definitions = tables.flat().flatMap((table) => Object.values(table));
    if (definitions.length > 0) modules.push({ module, definitions: definitions as Definition[] });
  }
  return modules;
}
