// Bundles the platform daemon into one file, with a V8 code cache beside it, in the given folder.
// Without the bundle a restarted host loads about 600 modules, which doubles its start-up CPU time.
// Arguments: the folder, and the time limit of the warm-up in milliseconds.
const { buildSync } = require('esbuild');
const {
  copyFileSync,
  mkdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} = require('node:fs');
const { join, resolve } = require('node:path');

const { loadBundle, sealCache } = require('./platformLauncher');

const root = join(__dirname, '..');
const folder = resolve(process.argv[2] ?? join(root, 'target/platform'));
const warmUpTimeoutMs = Number(process.argv[3] ?? 30_000);
mkdirSync(folder, { recursive: true });
const bundle = join(folder, 'balancer.js');

// A process that starts meanwhile finds each file whole, or not at all.
function replace(path, write) {
  const newPath = `${path}.new`;
  write(newPath);
  renameSync(newPath, path);
}

function build(entry, path) {
  const options = {
    entryPoints: [join(root, entry)],
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
  };
  replace(path, (outfile) => buildSync({ ...options, outfile }));
}

// V8 recognizes the code of another bundle only by its length.
rmSync(`${bundle}.cache`, { force: true });
build('platform/main.ts', bundle);
replace(join(folder, 'main.js'), (path) =>
  copyFileSync(join(__dirname, 'platformLauncher.js'), path),
);
const warmUpBundle = join(folder, 'warmUp.js');
build('scripts/warmUp.ts', warmUpBundle);

const write = process.stdout.write.bind(process.stdout);
// The daemon still runs in this process, whose exit is replaced to notice its end.
const exitProcess = process.exit.bind(process);

function exit(code) {
  // The daemon would report the end of the build as its own.
  process.removeAllListeners('exit');
  exitProcess(code);
}

/** Rejects when the daemon ends, when an error is thrown, and after the time limit. */
function failure() {
  return new Promise((_resolve, reject) => {
    process.exit = (code) => reject(new Error(`the daemon ended with code ${code}`));
    process.prependListener('uncaughtException', reject);
    setTimeout(() => reject(new Error('the warm-up took too long')), warmUpTimeoutMs);
  });
}

// Runs the daemon against stand-ins, so that the code cache covers the first seconds of a host. With
// only the code of module loading in the cache, a restarted host takes 0.4 s to become ready.
async function compile() {
  const failed = failure();
  const { default: warmUps } = await import(warmUpBundle);
  const warmUp = await Promise.race([warmUps.prepareWarmUp(), failed]);
  process.env.LIMPETKNOT_NODE_FILE = warmUp.settingsFile;
  process.argv = [process.argv[0], join(folder, 'main.js')];
  process.stdout.write = () => true;
  const script = loadBundle(bundle);
  try {
    await Promise.race([warmUp.run(), failed]);
  } finally {
    // After a failure the code compiled so far is cached too.
    const data = script.createCachedData();
    const cache = sealCache(readFileSync(bundle, 'utf8'), data);
    replace(`${bundle}.cache`, (path) => writeFileSync(path, cache, { flush: true }));
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
