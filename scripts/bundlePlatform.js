// Bundles the platform daemon into one file, with a V8 code cache beside it, in the given folder.
// Without the bundle a restarted host loads about 600 modules, which doubles its start-up CPU time.
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
    // The main entry of ts-results hides its imports from the bundler.
    mainFields: ['module', 'main'],
    // Optional modules that the daemon never uses: HTTP/2 of undici, which takes a third of the load
    // time of the Node.js built-ins; tracing, file rotation and source positions of bunyan.
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

function exit(code) {
  // The daemon would report the end of the build as its own.
  process.removeAllListeners('exit');
  // The daemon still runs in this process.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
}

// Runs the daemon against stand-ins, so that the code cache covers the first seconds of a host. With
// only the code of module loading in the cache, a restarted host takes 0.4 s to become ready.
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
    // After a failure the code compiled so far is cached too.
    writeFileSync(`${bundle}.cache`, script.createCachedData());
    process.stdout.write = write;
    warmUp.close();
  }
}

compile().then(
  () => exit(0),
  (error) => {
    // Without the warm-up the daemon works the same, but starts more slowly.
    process.stderr.write(`warm-up failed, the code cache is incomplete: ${error.stack}\n`);
    exit(0);
  },
);
