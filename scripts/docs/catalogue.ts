import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

/** Definitions of one kind that a module exports. */
export interface CatalogueModule<Definition> {
  readonly module: string;
  readonly definitions: readonly Definition[];
}

/** Imports `file` of each module in `source` that has it and returns the tables that it exports. */
export async function readCatalogue<Definition>(
  source: string,
  file: string,
): Promise<readonly CatalogueModule<Definition>[]> {
  const modules: CatalogueModule<Definition>[] = [];
  for (const module of readdirSync(source).sort()) {
    const found = ['ts', 'js']
      .map((extension) => join(source, module, `${file}.${extension}`))
      .find((path) => existsSync(path));
    if (found === undefined) continue;
    const tables = (await import(found)) as Record<string, unknown>;
    // A CommonJS module also appears under `default` and `module.exports`.
    const named = Object.entries(tables).filter(([name]) => /^[A-Z][A-Z_]*$/.test(name));
    const definitions = named.flatMap(([, table]) => Object.values(table as object));
    modules.push({ module, definitions: definitions as Definition[] });
  }
  return modules;
}
