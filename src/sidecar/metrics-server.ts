/** Serves the metrics as text, at `/metrics`. */
import { HttpListener } from './http-listener.js';
import type { SidecarMetrics } from './sidecar-metrics.js';

const PATH = '/metrics';
const OK = 200;
const NOT_FOUND = 404;

/** Creates the server; it does not listen yet. */
export function createMetricsServer({ registry }: SidecarMetrics): HttpListener {
  return new HttpListener((request, response) => {
    if (request.url !== PATH) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    void registry.metrics().then((text) => {
      response.writeHead(OK, { 'Content-Type': registry.contentType }).end(text);
    });
  });
}
