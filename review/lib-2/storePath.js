/* eslint-disable */
/* eslint n/no-sync: "off" */
'use strict';

// The path of one machine to the platform's store. While it is cut, bytes are held up in both directions and new
// connections get no answer; nothing is reset.

const net = require('node:net');

class StorePath {
  constructor(store) {
    [this.storeIp, this.storePort] = store.split(':');
    this.isCut = false;
    this.pairs = new Set();
    this.server = net.createServer((near) => this.connect(near));
  }

  listen(ip) {
    return new Promise((resolve) => {
      this.server.listen(0, ip, () => {
        this.address = `${ip}:${this.server.address().port}`;
        resolve();
      });
    });
  }

  connect(near) {
    const far = net.connect({ host: this.storeIp, port: Number(this.storePort) });
    const pair = { near, far, isAsked: false };
    near.on('data', () => {
      pair.isAsked = true;
    });
    far.on('data', () => {
      pair.isAsked = false;
    });
    this.pairs.add(pair);
    const pass = (from, to) => {
      from.on('data', (bytes) => to.write(bytes));
      from.on('end', () => to.end());
      from.on('error', () => to.destroy());
      from.on('close', () => {
        this.pairs.delete(pair);
        if (this.isCut) to.destroy();
      });
      if (this.isCut) from.pause();
    };
    pass(near, far);
    pass(far, near);
  }

  /** Whether a call to the store waits for its answer, such as a watch. */
  isWaiting() {
    return [...this.pairs].some(({ isAsked }) => isAsked);
  }

  cut() {
    this.isCut = true;
    for (const { near, far } of this.pairs) {
      near.pause();
      far.pause();
    }
  }

  heal() {
    this.isCut = false;
    for (const { near, far } of this.pairs) {
      near.resume();
      far.resume();
    }
  }

  close() {
    this.server.close();
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }
}

module.exports = { StorePath };
