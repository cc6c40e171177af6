import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';

// Runs beside the test, whose own calls would wait for the writing otherwise.
const PROGRAM = `
const { connect } = require('node:net');
const [port, connections, calls] = process.argv.slice(1).map(Number);
let begun = 0;
for (let index = 0; index < connections; index += 1) {
  const text = Array.from({ length: calls }, (_, call) =>
    'GET /silent/x HTTP/1.1\\r\\nHost: test.example\\r\\nDeadline-Ms: 30000\\r\\n' +
    'Request-Id: f-' + index + '-' + call + '\\r\\n\\r\\n').join('');
  const socket = connect(port, '127.0.0.1', () => {
    socket.write(text);
    begun += 1;
    if (begun === connections) process.stdout.write('begun');
  });
  socket.on('error', () => {});
  socket.pause();
}
`;

/** Callers in a process of their own that send many calls behind each other and read no answer. */
export class PipelinedFlood {
  private constructor(private readonly child: ChildProcess) {}

  /** Resolves once all callers are connected and send. */
  static async start(port: number, connections: number, calls: number): Promise<PipelinedFlood> {
    const argumentList = ['-e', PROGRAM, port, connections, calls].map(String);
    const child = spawn(process.execPath, argumentList, { stdio: ['ignore', 'pipe', 'inherit'] });
    await once(child.stdout, 'data');
    return new PipelinedFlood(child);
  }

  /** Closes all connections. */
  close(): void {
    this.child.kill('SIGKILL');
  }
}
