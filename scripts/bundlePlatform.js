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

function build(entry, outfile) {
  buildSync({
    entryPoints: [join(root, entry)],
    outfile,
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
}

build('platform/main.ts', bundle);
copyFileSync(join(__dirname, 'platformLauncher.js'), join(folder, 'main.js'));
const warmUpBundle = join(folder, 'warmUp.js');
build('scripts/warmUp.ts', warmUpBundle);

const write = process.stdout.write.bind(process.stdout);
const exit = process.exit.bind(process);

// Runs the daemon against stand-ins, so that the kept code is what the first seconds of a host compile;
// with the code of loading alone, a restarted host took 0.4 s until it was ready.
async function compile() {
  const { default: warmUps } = await import(warmUpBundle);
  const warmUp = await warmUps.prepareWarmUp();
  process.env.LIMPETKNOT_NODE_FILE = warmUp.settingsFile;
  process.argv = [process.argv[0], join(folder, 'main.js')];
  process.stdout.write = () => true;
  const script = loadBundle(bundle);
  try {
    await warmUp.run();
  } finally {
    // Code that was compiled until a failure is worth keeping too.
    writeFileSync(`${bundle}.cache`, script.createCachedData());
    process.stdout.write = write;
    warmUp.close();
  }
}

compile().then(
  () => exit(0),
  (error) => {
    // Without the warm-up the daemon is as good, but starts more slowly.
    process.stderr.write(`warm-up failed, compiled code is incomplete: ${error.stack}\n`);
    exit(0);
  },
);
