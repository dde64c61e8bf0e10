/** Answers the platform's check whether this node accepts requests. */
import type { ConnectionGuard } from '../http/connection-guard.js';
import { HttpListener } from './http-listener.js';

const OK = 200;
const UNAVAILABLE = 503;
const NOT_FOUND = 404;

/**
 * Creates the server; it does not listen yet.
 *
 * @param path path of the check
 */
export function createReadinessServer(
  path: string,
  guard: ConnectionGuard,
  isReady: () => boolean,
): HttpListener {
  return new HttpListener((request, response) => {
    const status = request.url === path ? (isReady() ? OK : UNAVAILABLE) : NOT_FOUND;
    response.writeHead(status).end();
  }, guard);
}
