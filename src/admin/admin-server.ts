import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import { createServer as createHttpsServer } from 'node:https';
import type { AddressInfo, Socket } from 'node:net';
import express, { type Express, type Request } from 'express';
import type { ErrorRequestHandler, RequestHandler } from 'express';
import { operatorLimits } from '../config/client-limits.js';
import { splitAddress } from '../core/host-and-port.js';
import { createFailure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { AdminService } from '../gen/sillshore/admin/v1/admin_pb.js';
import { ClientLimitReports } from '../http/client-limit-reports.js';
import { ConnectionGuard } from '../http/connection-guard.js';
import { onEachRequest } from '../http/on-each-request.js';
import { Event } from '../kernel/event.js';
import { listenOn } from '../kernel/port-binder.js';
import { MetricsText } from '../observability/metrics-text.js';
import type { AdminNode } from './admin-node.js';
import { createAdminService } from './admin-service.js';
import { OperatorTokens } from './authentication.js';
import { checkPermissions, createOperatorContext } from './authorization.js';
import { createConnectMiddleware, methodOf, sendConnectError } from './connect-middleware.js';
import { DrainCommands } from './drain-commands.js';
import { isReady } from './node-status.js';
import { formatRawProblem, sendProblem } from './problem-document.js';

/** Largest request in bytes: a rules document of 4 Mi characters, with room for JSON escapes. */
export const MAX_REQUEST_BYTES = 8 * 1024 * 1024;

/** Time limits for requests of clients, in milliseconds. */
export interface AdminTimeLimits {
  /** For the whole request, body included. */
  readonly requestMs: number;
  /** For the header section of the request. */
  readonly headersMs: number;
  /** Interval at which connections are checked against these limits. */
  readonly checkMs: number;
}

const DEFAULT_TIME_LIMITS: AdminTimeLimits = {
  requestMs: 15_000,
  headersMs: 5_000,
  checkMs: 1_000,
};

/** Answers are small; their number is bounded. */
const ANSWER_BYTES = 0;

/** Time that running calls have to finish when the server stops. */
const STOP_GRACE_MS = 2_000;

/** Common path prefix of all remote calls. */
const SERVICE_PATH = `/${AdminService.typeName}`;

function isRemoteCall(request: Request): boolean {
  return request.path.startsWith(`${SERVICE_PATH}/`);
}

/** Rejects HTTP/1.1 requests without a `Host` field (RFC 9112, section 3.2). */
const requireHost: RequestHandler = (request, response, next) => {
  if (request.headers.host !== undefined || request.httpVersion !== '1.1') {
    next();
    return;
  }
  response.set('connection', 'close');
  sendProblem(response, createFailure(ResultCode.MalformedRequest, 'the Host field is missing'));
};

/** Whether a connection failed in its TLS handshake. */
function isTlsFailure({ code = '' }: NodeJS.ErrnoException): boolean {
  return code.startsWith('ERR_SSL_') || code.startsWith('ERR_TLS_') || code === 'EPROTO';
}

/** HTTP server of the admin port: admin API, metrics, health and readiness. */
export class AdminServer {
  private readonly shutdown = new AbortController();
  private readonly server: Server;
  private readonly tokens: OperatorTokens;
  /** Open connections, those in their TLS handshake included. */
  private readonly sockets = new Set<Socket>();
  private readonly guard: ConnectionGuard;

  constructor(
    private readonly node: AdminNode,
    limits: AdminTimeLimits = DEFAULT_TIME_LIMITS,
  ) {
    this.tokens = new OperatorTokens(node.settings.admin);
    const drains = new DrainCommands(node);
    drains.registerHandlers();
    const options = {
      requestTimeout: limits.requestMs,
      headersTimeout: limits.headersMs,
      connectionsCheckingInterval: limits.checkMs,
      // Answered by `requireHost`, within the bounds on what clients may hold.
      requireHostHeader: false,
    };
    const clientLimits = operatorLimits(node.settings);
    const reports = new ClientLimitReports({
      port: 'admin',
      hits: node.metrics.limitHits,
      clock: node.clock,
      log: node.log,
    });
    this.guard = new ConnectionGuard(clientLimits, node.clock, reports);
    this.server = this.createServer(options);
    // Connections in their TLS handshake, which the guard does not know yet, end after a time limit.
    if (node.settings.admin.tls !== undefined)
      this.server.maxConnections = clientLimits.connections;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    const opened = node.settings.admin.tls === undefined ? 'connection' : 'secureConnection';
    this.server.on(opened, (socket: Socket) => {
      this.guard.open(socket);
    });
    const app = this.createApp(drains);
    onEachRequest(this.server, (request, response) => {
      if (!this.accept(request, response)) return;
      app(request, response);
      response.once('finish', () => {
        // Otherwise a connection that was busy when the server closed would stay open when idle.
        if (this.shutdown.signal.aborted) request.socket.end();
      });
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.answerClientError(error, socket as Socket);
    });
  }

  /** Port that the server listens on; a free one when the port in the settings is 0. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Starts to listen; rejects when the address cannot be bound. */
  async start(): Promise<void> {
    const { host, port } = splitAddress(this.node.settings.listen.admin);
    await listenOn(this.server, host, port);
  }

  /** Ends streams, gives running calls {@link STOP_GRACE_MS} to finish, and closes the server. */
  async stop(): Promise<void> {
    this.shutdown.abort();
    const cancel = this.node.clock.schedule(STOP_GRACE_MS, () => {
      for (const socket of this.sockets) socket.destroy();
    });
    await new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    cancel();
    this.guard.close();
  }

  /** Whether a request is to be served; bounds those that are sent ahead. */
  private accept(request: IncomingMessage, response: ServerResponse): boolean {
    const accepted = this.guard.acceptOrRefuse(request, response);
    if (accepted === undefined) return false;
    const { connection, slot } = accepted;
    // Streams stay open for long; the time to read an answer begins when it is complete.
    response.once('prefinish', () => {
      this.guard.noteAnswer(connection, slot, ANSWER_BYTES);
    });
    return true;
  }

  private createServer(options: ServerOptions): Server {
    const { tls } = this.node.settings.admin;
    if (tls === undefined) return createHttpServer(options);
    const { certificate: cert, key } = tls;
    const handshakeTimeout = options.headersTimeout;
    const tlsOptions = { cert, key, minVersion: 'TLSv1.3', handshakeTimeout } as const;
    return createHttpsServer({ ...options, ...tlsOptions });
  }

  private createApp(drains: DrainCommands): Express {
    const { node } = this;
    const app = express();
    app.disable('x-powered-by');
    app.use((request, _response, next) => {
      if (!isRemoteCall(request)) this.dropBody(request);
      next();
    });
    app.use(requireHost);
    const metrics = new MetricsText(node.metrics.registry);
    app.get('/metrics', async (_request, response) => {
      response.type(metrics.contentType).send(await metrics.read());
    });
    app.get('/healthz', (_request, response) => {
      response.json({ state: 'running' });
    });
    app.get('/readyz', (_request, response) => {
      const ready = isReady(node);
      response.status(ready ? 200 : 503).json({ ready, draining: node.kernel.draining });
    });
    app.use(this.authenticate());
    app.use(
      createConnectMiddleware({
        routes: (router) => router.service(AdminService, createAdminService(node, drains)),
        interceptors: [checkPermissions(node)],
        contextValues: (request) =>
          createOperatorContext(this.tokens.find(request.headers.authorization)),
        maxRequestBytes: MAX_REQUEST_BYTES,
        shutdownSignal: this.shutdown.signal,
        onDefect: (error) => {
          node.log.emit(Event.InternalError, { plugin: 'admin', error: String(error) });
        },
      }),
    );
    app.use((request, response) => {
      const failure = createFailure(ResultCode.UnknownKind, `no ${request.method} ${request.path}`);
      if (isRemoteCall(request)) sendConnectError(response, failure);
      else sendProblem(response, failure);
    });
    app.use(this.handleDefect());
    return app;
  }

  /**
   * Rejects remote calls without an operator's token before their body is read. What a token
   * allows depends on the body and is checked by {@link checkPermissions}.
   */
  private authenticate(): RequestHandler {
    const { log } = this.node;
    return (request, response, next) => {
      if (!isRemoteCall(request)) {
        next();
        return;
      }
      const method = methodOf(request);
      const from = request.socket.remoteAddress;
      if (this.tokens.find(request.headers.authorization) !== undefined) {
        log.emit(Event.OperatorRequest, { method, from });
        next();
        return;
      }
      log.emit(Event.OperatorRejected, { method, from });
      this.dropBody(request);
      response.set('connection', 'close').set('www-authenticate', 'Bearer');
      const detail = 'the Authorization field presents no valid bearer token';
      sendConnectError(response, createFailure(ResultCode.OperatorUnauthenticated, detail));
    };
  }

  /** Nobody reads the body; while it waits, each of its chunks is kept as an object. */
  private dropBody(request: IncomingMessage): void {
    const connection = this.guard.of(request.socket);
    if (connection !== undefined) this.guard.readBody(connection, request);
  }

  private handleDefect(): ErrorRequestHandler {
    // express recognizes error handlers by their four parameters.
    return (error: unknown, _request, response, next) => {
      this.node.log.emit(Event.InternalError, { plugin: 'admin', error: String(error) });
      if (response.headersSent) next(error);
      else sendProblem(response, createFailure(ResultCode.Internal, 'the call failed'));
    };
  }

  private answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (isTlsFailure(error)) {
      // The handshake failed, so no response can be encrypted.
      this.node.log.emit(Event.OperatorRejected, { error: error.code, from: socket.remoteAddress });
      socket.destroy();
      return;
    }
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const code =
      error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
        ? ResultCode.RequestReadTimeout
        : ResultCode.MalformedRequest;
    this.node.log.emit(Event.OperatorRejected, { error: error.code, from: socket.remoteAddress });
    socket.end(formatRawProblem(createFailure(code, 'no valid HTTP request')));
  }
}
