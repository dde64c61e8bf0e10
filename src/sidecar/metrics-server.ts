/** Serves the metrics as text, at `/metrics`. */
import type { ConnectionGuard } from '../http/connection-guard.js';
import { MetricsText } from '../observability/metrics-text.js';
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
  const metrics = new MetricsText(registry);
  return new HttpListener((request, response) => {
    if (request.url !== PATH) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    void metrics.read().then((text) => {
      response.writeHead(OK, { 'Content-Type': metrics.contentType }).end(text);
    });
  }, guard);
}
