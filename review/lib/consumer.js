/* eslint-disable -- plain Node.js without the conventions of the product */
// A consumer of the platform: one request on a connection of its own.
'use strict';

const { request: send } = require('node:http');

let count = 0;

/** Sends a request to a machine; resolves to its status, or 0 when there was no answer. */
function call(record, machine, { method = 'GET', path, host = 'test.example', deadlineMs, body }) {
  count += 1;
  const id = `c${String(count).padStart(5, '0')}`;
  const headers = { Host: host, 'Request-Id': id, 'Deadline-Ms': String(deadlineMs) };
  if (body !== undefined) headers['Content-Length'] = Buffer.byteLength(body);
  const sentAt = record.add('consumer', `${id} ${method} ${path} sent to ${machine.name}`);
  return new Promise((resolve) => {
    const end = (status, text) => {
      record.add('consumer', `${id} ${status === 0 ? `no answer: ${text}` : `answered ${status}`}`);
      resolve({ id, sentAt, machine: machine.name, status });
    };
    const outgoing = send(
      {
        ...{ host: machine.ip, port: machine.ports.frontend, method, path, headers },
        ...{ agent: false, timeout: deadlineMs },
      },
      (response) => {
        response.resume();
        response.on('end', () => end(response.statusCode, ''));
        response.on('error', (error) => end(0, error.message));
      },
    );
    outgoing.on('timeout', () => outgoing.destroy(new Error('the consumer has given up')));
    outgoing.on('error', (error) => end(0, error.message));
    outgoing.end(body);
  });
}

module.exports = { call };
