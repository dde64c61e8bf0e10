/** Control endpoint of the callers stand-in. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { z } from 'zod';
import { closeServer, listenOn, readBody, sendJson } from '../http-server.js';
import type { Callers } from './start-callers.js';

const controlSchema = z.strictObject({
  /** Multiplies the rate of every stream from now on. */
  rateFactor: z.number().min(0).max(1_000).optional(),
  /** Ends the run early. */
  stop: z.boolean().optional(),
});

/**
 * Serves the control endpoint if an address is given.
 *
 * @returns the function that closes it
 */
export async function serveCallersControl(
  callers: Callers,
  listen: string | undefined,
  onReady: (address: string) => void,
): Promise<() => Promise<void>> {
  if (listen === undefined) return () => Promise.resolve();
  const server = createServer((request, response) => {
    handle(callers, request, response).catch(() => {
      response.destroy();
    });
  });
  onReady(await listenOn(server, listen));
  return () => closeServer(server);
}

async function handle(
  callers: Callers,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (request.url === '/control/result') {
    sendJson(response, 200, callers.result());
    return;
  }
  const body = (await readBody(request)).toString('utf8');
  const change = controlSchema.safeParse(body === '' ? {} : JSON.parse(body));
  if (!change.success) {
    sendJson(response, 400, { error: z.prettifyError(change.error) });
    return;
  }
  if (change.data.rateFactor !== undefined) callers.setRateFactor(change.data.rateFactor);
  if (change.data.stop === true) callers.stop();
  sendJson(response, 200, { done: true });
}
