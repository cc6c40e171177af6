import { type ChildProcess, spawn } from 'node:child_process';

// Runs beside the test, so that opening many connections holds up no stand-in of a server.
const PROGRAM = `
const { connect } = require('node:net');
const [port, count, portion] = process.argv.slice(1).map(Number);
const settled = new Set();
const settle = (index) => {
  settled.add(index);
  if (settled.size === count) process.stdout.write('open');
};
async function open() {
  for (let index = 0; index < count; index += 1) {
    const socket = connect(port, '127.0.0.1', () => settle(index));
    socket.on('error', () => settle(index));
    socket.resume();
    socket.write('GET /read/x HTTP/1.1\\r\\nHost: test.example\\r\\nDeadline-Ms: 3000\\r\\n' +
      'Request-Id: r-' + index + '\\r\\n\\r\\n');
    if (index % portion === portion - 1) await new Promise((resolve) => setTimeout(resolve, 1));
  }
}
open();
`;

/** Callers in a process of their own that send one call each and keep their connections. */
export class CallerFlood {
  private readonly child: ChildProcess;

  private readonly ended: Promise<void>;

  /** Resolves when each connection was established or closed by the host. */
  readonly opened: Promise<void>;

  constructor(port: number, count: number, portion: number) {
    const argumentList = ['-e', PROGRAM, port, count, portion].map(String);
    this.child = spawn(process.execPath, argumentList, { stdio: ['ignore', 'pipe', 'inherit'] });
    this.opened = new Promise((resolve) => {
      this.child.stdout!.once('data', () => resolve());
    });
    this.ended = new Promise((resolve) => {
      this.child.once('exit', () => resolve());
    });
  }

  /** Closes all connections. */
  leave(): Promise<void> {
    this.child.kill('SIGKILL');
    return this.ended;
  }
}
