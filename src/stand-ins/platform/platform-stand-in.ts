/**
 * Stand-in for the platform: the key-value service (etcd v3 JSON gateway), the list of machines at
 * `GET /machines`, and the endpoint `/control`, which switches faults at run time. `/control` is
 * also served on a separate port, which stays up during the outage `refuse`.
 */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import express, { type ErrorRequestHandler, type Express, type RequestHandler } from 'express';
import { systemClock, type Clock } from '../../kernel/clock.js';
import type { Machine } from '../../etcd/platform-client.js';
import { controlSchema, FaultInjector, type ControlRequest, type Faults } from './faults.js';
import { createGateway } from './gateway.js';
import { KeyValueStore } from './key-value-store.js';
import { MachineList } from './machine-list.js';
import { WatchStreams } from './watch-streams.js';

const parseBody = express.json({ limit: '16mb', type: () => true });
const LEASE_CHECK_INTERVAL_MS = 100;

/** Options of the stand-in. */
export interface PlatformStandInOptions {
  readonly host: string;
  /** 0 chooses a free port. */
  readonly port: number;
  /** Second port for `/control`; 0, the default, chooses a free one. */
  readonly controlPort?: number;
  /** Seed of random delays. */
  readonly seed: number;
  readonly machines?: readonly Machine[];
  readonly faults?: Partial<Faults>;
  readonly clock?: Clock;
}

/** A running stand-in. */
export interface PlatformStandIn {
  readonly port: number;
  readonly controlPort: number;
  readonly store: KeyValueStore;
  /** Open watch streams. */
  readonly watchCount: number;
  /** Requests to the key-value service and the list of machines so far. */
  readonly requestCount: number;
  /** Does the same as `POST /control`, for use within the process. */
  control(request: ControlRequest): Promise<void>;
  close(): Promise<void>;
}

/** Starts the stand-in; resolves once both ports are open. */
export async function startPlatformStandIn(
  options: PlatformStandInOptions,
): Promise<PlatformStandIn> {
  const standIn = new RunningPlatformStandIn(options);
  await standIn.start();
  return standIn;
}

class RunningPlatformStandIn implements PlatformStandIn {
  readonly store = new KeyValueStore();
  private readonly clock: Clock;
  private readonly injector: FaultInjector;
  private readonly watches: WatchStreams;
  private readonly machines: MachineList;
  private readonly requests = new Map<string, number>();
  private readonly mainApp: Express;
  private main: Server | undefined;
  private controlServer: Server | undefined;
  private leaseTimer: NodeJS.Timeout | undefined;
  private mainPort = 0;

  constructor(private readonly options: PlatformStandInOptions) {
    this.clock = options.clock ?? systemClock;
    this.injector = new FaultInjector(options.seed, options.faults);
    this.watches = new WatchStreams(this.store, this.injector);
    this.machines = new MachineList(options.machines ?? []);
    this.mainApp = this.createMainApp();
  }

  get port(): number {
    return this.mainPort;
  }

  get requestCount(): number {
    return [...this.requests.values()].reduce((sum, count) => sum + count, 0);
  }

  get controlPort(): number {
    return portOf(this.controlServer);
  }

  get watchCount(): number {
    return this.watches.count;
  }

  async start(): Promise<void> {
    const { host, port, controlPort = 0 } = this.options;
    this.main = await listen(this.mainApp, host, port);
    this.mainPort = portOf(this.main);
    this.controlServer = await listen(this.createControlApp(), host, controlPort);
    this.leaseTimer = setInterval(() => {
      this.store.expireLeases(this.clock.now());
    }, LEASE_CHECK_INTERVAL_MS).unref();
    await this.applyOutage();
  }

  async control(request: ControlRequest): Promise<void> {
    const { machines, compact, cutWatches, ...changes } = controlSchema.parse(request);
    this.injector.change(withoutUndefined(changes));
    if (machines !== undefined) this.machines.set(this.clock.now(), machines);
    if (compact === true) this.store.compact(this.store.revision);
    const { outage } = this.injector.faults;
    if (cutWatches === true || outage === 'reset') this.watches.cut();
    await this.applyOutage();
  }

  async close(): Promise<void> {
    clearInterval(this.leaseTimer);
    await closeServer(this.main);
    await closeServer(this.controlServer);
  }

  private async applyOutage(): Promise<void> {
    const refuses = this.injector.faults.outage === 'refuse';
    if (refuses && this.main !== undefined) {
      const server = this.main;
      this.main = undefined;
      await closeServer(server);
    }
    if (!refuses && this.main === undefined) {
      this.main = await listen(this.mainApp, this.options.host, this.mainPort);
    }
  }

  private createMainApp(): Express {
    const app = express().disable('x-powered-by');
    app.use('/control', this.controlRouter(true));
    app.use(this.delay());
    const count = (path: string) => this.requests.set(path, (this.requests.get(path) ?? 0) + 1);
    app.get('/machines', this.outage('machinesOutage'), (request, response) => {
      count(request.path);
      const { machineListLagMs } = this.injector.faults;
      response.json({ machines: this.machines.read(this.clock.now(), machineListLagMs) });
    });
    app.use(this.outage('outage'), parseBody);
    const { store, injector, watches, clock } = this;
    app.use(createGateway({ store, injector, watches, clock, count }));
    app.use(answerError);
    return app;
  }

  private createControlApp(): Express {
    return express().disable('x-powered-by').use('/control', this.controlRouter(false));
  }

  private controlRouter(onMainPort: boolean): express.Router {
    const router = express.Router();
    router.get('/', (_request, response) => {
      response.json(this.status());
    });
    router.post('/', parseBody, async (request, response) => {
      const parsed = controlSchema.safeParse(request.body ?? {});
      if (!parsed.success) {
        response.status(400).json({ code: 3, message: parsed.error.message });
        return;
      }
      // `refuse` closes the main port and with it this connection, so the answer is sent first.
      if (onMainPort && parsed.data.outage === 'refuse') {
        response.on('finish', () => void this.control(parsed.data));
        response.json({ closing: true });
        return;
      }
      await this.control(parsed.data);
      response.json(this.status());
    });
    return router;
  }

  private status(): object {
    return {
      faults: this.injector.faults,
      revision: this.store.revision,
      watches: this.watches.count,
      requests: Object.fromEntries(this.requests),
    };
  }

  private outage(name: 'outage' | 'machinesOutage'): RequestHandler {
    return (_request, response, next) => {
      const mode = this.injector.faults[name];
      if (mode === 'none') next();
      else if (mode !== 'hang') response.destroy();
    };
  }

  private delay(): RequestHandler {
    return (_request, _response, next) => {
      const delayMs = this.injector.nextDelay();
      if (delayMs === 0) next();
      else this.clock.schedule(delayMs, next);
    };
  }
}

/** Answers malformed JSON and oversized bodies with an error in the gateway's format. */
const answerError: ErrorRequestHandler = (error: { status?: number }, _request, response, next) => {
  if (response.headersSent) {
    next(error);
    return;
  }
  const message = String(error);
  response.status(error.status ?? 500).json({ error: message, code: 3, message });
};

type Defined<T> = { [K in keyof T]?: Exclude<T[K], undefined> };

function withoutUndefined<T extends object>(value: T): Defined<T> {
  const entries = Object.entries(value).filter(([, member]) => member !== undefined);
  return Object.fromEntries(entries) as Defined<T>;
}

async function listen(app: Express, host: string, port: number): Promise<Server> {
  const server = createServer(app);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}

async function closeServer(server: Server | undefined): Promise<void> {
  if (server === undefined) return;
  const closed = new Promise((resolve) => server.close(resolve));
  server.closeAllConnections();
  await closed;
}

function portOf(server: Server | undefined): number {
  return (server?.address() as AddressInfo | null)?.port ?? 0;
}
