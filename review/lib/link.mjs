/** A TCP link in front of a server, whose open connections can be made silent. */
import { connect, createServer } from 'node:net';

import { listen } from './net.mjs';

/**
 * Forwards connections to a target. `silence` stops the bytes of all open connections in both
 * directions and closes none of them; connections that are made later work.
 */
export class Link {
  pairs = new Set();

  server = createServer({ allowHalfOpen: true }, (socket) => this.onConnection(socket));

  constructor(target) {
    this.target = target;
  }

  async start(address) {
    this.address = address;
    this.port = await listen(this.server, address);
  }

  onConnection(near) {
    const far = connect({ host: this.target.address, port: this.target.port, allowHalfOpen: true });
    const pair = { near, far, isSilent: false };
    this.pairs.add(pair);
    const forward = (from, to) => {
      from.on('data', (chunk) => {
        if (!pair.isSilent) to.write(chunk);
      });
      from.on('end', () => {
        if (!pair.isSilent) to.end();
      });
      from.on('error', () => {
        if (!pair.isSilent) to.destroy();
      });
      from.on('close', () => {
        this.pairs.delete(pair);
        if (!pair.isSilent) to.destroy();
      });
    };
    forward(near, far);
    forward(far, near);
  }

  /** Makes the open connections silent; returns their number. */
  silence() {
    this.pairs.forEach((pair) => Object.assign(pair, { isSilent: true }));
    return this.pairs.size;
  }
}
