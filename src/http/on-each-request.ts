import type { RequestListener, Server } from 'node:http';

/**
 * Passes each request of a server on, also those with an `Expect` field that the server doesn't know.
 * node:http would answer these itself with 417, outside the bounds on what clients may hold.
 */
export function onEachRequest(server: Server, listener: RequestListener): void {
  server.on('request', listener);
  server.on('checkExpectation', listener);
}
