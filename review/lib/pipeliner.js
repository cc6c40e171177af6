/* eslint-disable -- plain Node.js without the conventions of the product */
// A consumer that sends further idempotent requests before the first has been answered: it asks for
// several pages at once on one connection, again and again, until an answer says
// `Connection: close`.
'use strict';

const { connect } = require('node:net');

let count = 0;

class Pipeliner {
  constructor(record, machine, { paths, everyMs, deadlineMs, host = 'test.example' }) {
    Object.assign(this, { record, machine, paths, deadlineMs, host });
    this.results = [];
    this.waiting = [];
    this.text = '';
    this.mayAsk = true;
    this.socket = connect(machine.ports.frontend, machine.ip);
    this.socket.setNoDelay(true);
    const timer = setInterval(() => this.ask(), everyMs);
    this.socket.on('data', (chunk) => this.read(chunk.toString('latin1')));
    this.socket.on('error', () => {});
    this.closed = new Promise((resolve) => {
      this.socket.once('close', () => {
        clearInterval(timer);
        this.mayAsk = false;
        for (const entry of this.waiting) this.end(entry, 0);
        resolve();
      });
    });
  }

  /** Sends nothing more; the answers to what was sent are read. */
  stop() {
    this.mayAsk = false;
    if (this.waiting.length === 0) this.socket.end();
  }

  ask() {
    if (!this.mayAsk || this.waiting.length > 0) return;
    for (const path of this.paths) {
      count += 1;
      const id = `p${String(count).padStart(5, '0')}`;
      const sentAt = this.record.add('consumer', `${id} GET ${path} sent to ${this.machine.name}`);
      this.waiting.push({ id, sentAt, machine: this.machine.name, status: null });
      this.socket.write(
        `GET ${path} HTTP/1.1\r\nHost: ${this.host}\r\nRequest-Id: ${id}\r\n` +
          `Deadline-Ms: ${this.deadlineMs}\r\n\r\n`,
      );
    }
  }

  read(text) {
    this.text += text;
    for (;;) {
      const headEnd = this.text.indexOf('\r\n\r\n');
      if (headEnd < 0) break;
      const head = this.text.slice(0, headEnd);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (this.text.length < headEnd + 4 + length) break;
      this.text = this.text.slice(headEnd + 4 + length);
      if (/^connection: close/im.test(head)) this.mayAsk = false;
      this.end(this.waiting.shift(), Number(head.split(' ')[1]));
    }
    if (!this.mayAsk && this.waiting.length === 0) this.socket.end();
  }

  end(entry, status) {
    entry.status = status;
    this.results.push({ ...entry, endedAt: this.record.now() });
    const { id } = entry;
    this.record.add(
      'consumer',
      `${id} ${status === 0 ? 'connection ended, no answer' : `answered ${status}`}`,
    );
  }
}

module.exports = { Pipeliner };
