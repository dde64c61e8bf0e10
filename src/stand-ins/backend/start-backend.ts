/** The back-end stand-in: an HTTP server that implements the published protocol of back ends. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { hash32 } from '../../core/hash.js';
import { createRandom } from '../../core/random.js';
import { ResultCode } from '../../core/result-code.js';
import { validateValue } from '../../config/validate-value.js';
import { closeServer, listenOn, readBody, sendJson } from '../http-server.js';
import { backendControlSchema, NO_FAULTS, type BackendControl } from './backend-faults.js';
import { matchesRequest, type BackendOptions } from './backend-options.js';
import { identifyRequest, refuse, serve, type WorkContext } from './serve-request.js';
import { DownstreamCaller } from './downstream-caller.js';
import { EffectsJournal } from './effects-journal.js';
import { createReports } from './health-reports.js';
import { drawServiceTime } from './service-time.js';
import { SlotPool } from './slot-pool.js';

/** A running back end. */
export interface Backend {
  /** Bound address, `host:port`. */
  readonly address: string;
  readonly journal: EffectsJournal;
  /** Changes faults, as `POST /control` does. */
  control(change: BackendControl): void;
  stop(): Promise<void>;
}

/** Starts a back end. */
export async function startBackend(options: BackendOptions): Promise<Backend> {
  const random = createRandom(hash32(`${options.target} ${options.seed}`));
  const journal = new EffectsJournal(options.service, options.target);
  const pool = new SlotPool(options.slots, options.maxQueue);
  let faults = NO_FAULTS;
  let coldUntil = performance.now() + options.coldMs;
  const caller = new DownstreamCaller(() => faults);
  const isDraining = (): boolean => faults.drain || faults.silentDrain;
  const refusesAll = (): boolean =>
    faults.drain && Date.now() >= journal.counters.drainStartedAt + faults.refuseAfterMs;

  const context: WorkContext = {
    options,
    pool,
    caller,
    counters: journal.counters,
    faults: () => faults,
    nextServiceMs: (method, path) => {
      const cold = performance.now() < coldUntil ? options.coldFactor : 1;
      const rule = options.work.find(({ on }) => matchesRequest(on, method, path));
      const { serviceMs, sigma } = rule ?? options;
      const base = drawServiceTime(random, serviceMs, sigma);
      return base * cold * faults.slowFactor;
    },
    announcedState: () => (faults.drain ? 'draining' : undefined),
  };
  const reports = createReports(() => faults, {
    state: () => {
      if (isDraining()) return 'draining';
      return performance.now() < coldUntil ? 'starting' : 'serving';
    },
    load: () => ({ inFlight: pool.inUse + pool.queued, slots: pool.slots }),
  });

  const control = (change: BackendControl): void => {
    const { coldMs, ...rest } = change;
    if (coldMs !== undefined) coldUntil = performance.now() + coldMs;
    const wasDraining = isDraining();
    faults = { ...faults, ...rest } as typeof faults;
    if (isDraining() && !wasDraining) journal.counters.drainStartedAt = Date.now();
    if (!isDraining()) journal.counters.drainStartedAt = 0;
  };

  const handleWork = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const arrivedAt = performance.now();
    const name = identifyRequest(request);
    if (name === undefined) journal.counters.anonymous += 1;
    const body = await readBody(request);
    const entry = journal.receive(name ?? 'anonymous', request.method ?? '', request.url ?? '');
    const received = { request, response, body, entry, arrivedAt };
    if (refusesAll()) refuse(received, 'draining');
    else if (faults.shed) refuse(received, 'overloaded');
    else serve(context, received);
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const path = request.url ?? '/';
    if (path === '/health') sendJson(response, 200, { state: reports.state() });
    else if (path === '/load') sendJson(response, 200, reports.load());
    else if (path === '/control/journal') sendJson(response, 200, journal.snapshot());
    else if (path === '/control') await handleControl(request, response, control);
    else await handleWork(request, response);
  };

  const server = createServer((request, response) => {
    const cost = takeConnectionCost(request.socket, options.connectionCostMs);
    const handled =
      cost > 0 ? delay(cost).then(() => handle(request, response)) : handle(request, response);
    handled.catch(() => {
      response.destroy();
    });
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  limitConnections(server, options.connections, () => {
    journal.counters.connectionsRefused += 1;
  });
  const address = await listenOn(server, options.listen);
  const stop = async (): Promise<void> => {
    reports.stop();
    caller.close();
    await closeServer(server);
  };
  return { address, journal, control, stop };
}

/** Idle time after which a connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Connections accepted above the limit, for the control endpoint and the reports. */
const RESERVED_CONNECTIONS = 8;

function limitConnections(
  server: ReturnType<typeof createServer>,
  limit: number,
  onRefused: () => void,
): void {
  const open = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    if (open.size >= limit + RESERVED_CONNECTIONS) {
      onRefused();
      socket.destroy();
      return;
    }
    open.add(socket);
    socket.once('close', () => open.delete(socket));
  });
}

const seenConnections = new WeakSet<Socket>();

/** Returns the delay of the first request of a connection in milliseconds; 0 for later ones. */
function takeConnectionCost(socket: Socket, costMs: number): number {
  if (seenConnections.has(socket)) return 0;
  seenConnections.add(socket);
  return costMs;
}

async function handleControl(
  request: IncomingMessage,
  response: ServerResponse,
  control: (change: BackendControl) => void,
): Promise<void> {
  const body = await readBody(request);
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch {
    sendJson(response, 400, { error: 'not JSON' });
    return;
  }
  const checked = validateValue(value, backendControlSchema, ResultCode.InvalidField);
  if (checked.isErr) {
    sendJson(response, 400, checked.error);
    return;
  }
  control(checked.value);
  sendJson(response, 200, { done: true });
}
