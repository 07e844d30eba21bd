/** Loopback ports and small TCP helpers shared by the review's scripts. */
import { setTimeout } from 'node:timers';
import { createServer } from 'node:net';

const FIRST_PORT = 21_000;
const PORT_COUNT = 9_000;

/** Resolves after `millis` milliseconds. */
export const pause = (millis) =>
  new Promise((resolve) => {
    setTimeout(resolve, millis);
  });

const listenOn = (address, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, address, () => resolve(server));
  });

const isFree = async (address, port) => {
  const server = await listenOn(address, port);
  if (!server) return false;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return true;
};

/**
 * Returns the first of `count` consecutive ports that are free on each of the addresses; below the
 * ephemeral range, so that no outgoing connection takes them.
 */
export const freePorts = async (addresses, count) => {
  for (let tries = 0; tries < 200; tries++) {
    const first = FIRST_PORT + Math.floor(Math.random() * (PORT_COUNT - count));
    let areFree = true;
    for (const address of addresses) {
      for (let i = 0; i < count && areFree; i++) areFree = await isFree(address, first + i);
    }
    if (areFree) return first;
  }
  throw new Error('found no free ports on loopback');
};

/** Starts a server of `node:net` or `node:http` on a free port of an address; returns the port. */
export const listen = (server, address) =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, address, () => resolve(server.address().port));
  });
