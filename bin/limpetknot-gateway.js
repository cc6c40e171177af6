#!/usr/bin/env node
const { main } = require('../dist/src/gateway');

main(process.argv.slice(2)).then((code) => {
  process.exitCode = code;
});
