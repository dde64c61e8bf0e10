/** Serves the metrics as text, at `/metrics`. */
import type { ConnectionGuard } from '../http/connection-guard.js';
import { HttpListener } from './http-listener.js';
import type { SidecarMetrics } from './sidecar-metrics.js';

const PATH = '/metrics';
const OK = 200;
const NOT_FOUND = 404;

/** Creates the server; it does not listen yet. */
export function createMetricsServer(
  { registry }: SidecarMetrics,
  guard: ConnectionGuard,
): HttpListener {
  /** Requests that come while the text is being made get the same one. */
  let pending: Promise<string> | undefined;
  const readMetrics = (): Promise<string> => {
    pending ??= registry.metrics().finally(() => {
      pending = undefined;
    });
    return pending;
  };
  return new HttpListener((request, response) => {
    if (request.url !== PATH) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    void readMetrics().then((text) => {
      response.writeHead(OK, { 'Content-Type': registry.contentType }).end(text);
    });
  }, guard);
}
