/* eslint-disable -- plain Node.js without the conventions of the product */
// A consumer that keeps its connection: it sends one request after the other on it.
'use strict';

const { connect } = require('node:net');
const { sleep } = require('./machines');

const PIECE_BYTES = 16_384;
let count = 0;

class Sequence {
  constructor(record, machine, host = 'test.example') {
    Object.assign(this, { record, machine, host });
    this.text = '';
    this.onAnswer = null;
    this.isClosed = false;
    this.socket = connect(machine.ports.frontend, machine.ip);
    this.socket.setNoDelay(true);
    this.socket.on('error', () => {});
    this.socket.on('close', () => {
      this.isClosed = true;
      this.onAnswer?.(0);
    });
    this.socket.on('data', (chunk) => {
      this.text += chunk.toString('latin1');
      const headEnd = this.text.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(this.text)?.[1] ?? 0);
      if (this.text.length < headEnd + 4 + length) return;
      const status = Number(this.text.split(' ')[1]);
      this.text = this.text.slice(headEnd + 4 + length);
      this.onAnswer?.(status);
    });
  }

  /** Sends a request with a body; resolves when it is answered and its body is sent, or given up. */
  async post(path, bytes, deadlineMs) {
    count += 1;
    const id = `s${String(count).padStart(4, '0')}`;
    const sentAt = this.record.add('consumer', `${id} POST ${path} (${bytes} bytes) begins`);
    const answered = new Promise((resolve) => {
      this.onAnswer = resolve;
      setTimeout(() => resolve(null), deadlineMs);
    });
    this.socket.write(
      `POST ${path} HTTP/1.1\r\nHost: ${this.host}\r\nRequest-Id: ${id}\r\n` +
        `Deadline-Ms: ${deadlineMs}\r\nContent-Length: ${bytes}\r\n\r\n`,
    );
    let answeredAt = null;
    const ended = answered.then((status) => {
      answeredAt = this.record.now();
      const what =
        status === null ? 'given up' : status === 0 ? 'connection ended' : `answered ${status}`;
      this.record.add('consumer', `${id} ${what}`);
      return status;
    });
    for (let left = bytes; left > 0 && !this.isClosed; left -= PIECE_BYTES) {
      this.socket.write(Buffer.alloc(Math.min(PIECE_BYTES, left), 0x61));
      await sleep(2);
    }
    if (bytes > PIECE_BYTES) this.record.add('consumer', `${id} body sent`);
    const status = await ended;
    return { id, status, sentAt, tookMs: answeredAt - sentAt };
  }

  close() {
    this.socket.destroy();
  }
}

module.exports = { Sequence };
