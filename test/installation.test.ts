import { spawnSync } from 'node:child_process';
import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  rmSync,
  symlinkSync,
  utimesSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const ROOT = join(__dirname, '..');
const SCRIPT = join(ROOT, 'scripts', 'packagesFit.js');
const NATIVE_PACKAGE = `@esbuild/${process.platform}-${process.arch}`;

/** What happens to installed packages before a build. */
const MISHAPS: Readonly<Record<string, (folder: string) => void>> = {
  'were never installed': (folder) => rmSync(join(folder, 'node_modules'), { recursive: true }),
  'were installed in part': (folder) => rmSync(join(folder, 'node_modules/.package-lock.json')),
  'came from another kind of machine': (folder) =>
    rmSync(join(folder, 'node_modules', NATIVE_PACKAGE), { recursive: true }),
  'are older than their list': (folder) =>
    utimesSync(join(folder, 'package-lock.json'), new Date(), new Date(Date.now() + 60_000)),
};

describe('installed packages', () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'limpetknot-packages-'));
    mkdirSync(join(folder, 'node_modules/@esbuild'), { recursive: true });
    writeFileSync(join(folder, 'package-lock.json'), '{}');
    utimesSync(join(folder, 'package-lock.json'), 0, 0);
    writeFileSync(join(folder, 'node_modules/.package-lock.json'), '{}');
    mkdirSync(join(folder, 'node_modules/esbuild/lib'), { recursive: true });
    for (const file of ['package.json', 'lib/main.js'])
      copyFileSync(
        join(ROOT, 'node_modules/esbuild', file),
        join(folder, 'node_modules/esbuild', file),
      );
    symlinkSync(
      join(ROOT, 'node_modules', NATIVE_PACKAGE),
      join(folder, 'node_modules', NATIVE_PACKAGE),
    );
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  // Guards against an installation before each build.
  it('fit if they are complete and of this machine', () => {
    expect(spawnSync(process.execPath, [SCRIPT, folder]).status).toBe(0);
  });

  // Guards against a build that fails over packages that it could install anew.
  it.each(Object.entries(MISHAPS))('do not fit if they %s', (_, spoil) => {
    spoil(folder);
    expect(spawnSync(process.execPath, [SCRIPT, folder]).status).toBe(1);
  });
});
