// Builds one file of the platform's daemon, with V8's compiled code beside it, into the folder given.
// A restarted host loads about 600 modules otherwise, which takes twice its start-up processor time.
const { buildSync } = require('esbuild');
const { copyFileSync, mkdirSync, writeFileSync } = require('node:fs');
const { join, resolve } = require('node:path');

const { loadBundle } = require('./platformLauncher');

const root = join(__dirname, '..');
const folder = resolve(process.argv[2] ?? join(root, 'target/platform'));
mkdirSync(folder, { recursive: true });
const bundle = join(folder, 'balancer.js');
buildSync({
  entryPoints: [join(root, 'platform/main.ts')],
  outfile: bundle,
  bundle: true,
  platform: 'node',
  target: 'node20',
  // ts-results' other form hides its imports from the bundler.
  mainFields: ['module', 'main'],
  // Optional parts that this daemon never uses: HTTP/2 of undici, which takes a third of the time to
  // load what Node.js brings; tracing, rotated files and source positions of bunyan.
  alias: {
    'node:http2': join(__dirname, 'absentModule.js'),
    'dtrace-provider': join(__dirname, 'absentModule.js'),
    mv: join(__dirname, 'absentModule.js'),
    'source-map-support': join(__dirname, 'absentModule.js'),
  },
  logLevel: 'warning',
});
copyFileSync(join(__dirname, 'platformLauncher.js'), join(folder, 'main.js'));

// The code that a run of --help compiled is kept too, so that the cache is taken when it has ended.
const write = process.stdout.write.bind(process.stdout);
process.stdout.write = () => true;
process.argv = [process.argv[0], join(folder, 'main.js'), '--help'];
const script = loadBundle(bundle);
process.exit = () => {
  process.stdout.write = write;
  writeFileSync(`${bundle}.cache`, script.createCachedData());
};
