#!/usr/bin/env node
const { main } = require('../dist/src/control');

main(process.argv.slice(2)).then((code) => {
  process.exitCode = code;
});
