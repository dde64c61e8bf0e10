/** The key-value service's JSON gateway as an express router: /v3/kv, /v3/lease, /v3/watch. */
import { Router, type Request, type RequestHandler, type Response } from 'express';
import type { z } from 'zod';
import type { Clock } from '../../kernel/clock.js';
import type { FaultInjector } from './faults.js';
import {
  gatewayRequests,
  toHeader,
  toKeyRange,
  toSnakeCase,
  toWireRange,
  toWireResult,
} from './gateway-messages.js';
import type { KeyValueStore } from './key-value-store.js';
import type { WatchStreams } from './watch-streams.js';

/** gRPC status codes of the gateway's error answers, and their HTTP statuses. */
const GrpcStatus = {
  invalidArgument: { code: 3, status: 400 },
  notFound: { code: 5, status: 404 },
  failedPrecondition: { code: 9, status: 400 },
  resourceExhausted: { code: 8, status: 429 },
} as const;

/** An error that the gateway answers with. */
class GatewayError extends Error {
  constructor(
    readonly grpc: (typeof GrpcStatus)[keyof typeof GrpcStatus],
    message: string,
  ) {
    super(message);
  }
}

/** Dependencies of the gateway. */
export interface GatewayOptions {
  readonly store: KeyValueStore;
  readonly injector: FaultInjector;
  readonly watches: WatchStreams;
  readonly clock: Clock;
  /** Counts executed requests by path. */
  readonly count: (path: string) => void;
}

/** Creates the router. */
export function createGateway(options: GatewayOptions): Router {
  const { store, watches, clock } = options;
  const router = Router();
  router.use(rateLimit(options));
  const define = <S extends z.ZodType>(
    path: string,
    schema: S,
    run: (request: z.output<S>) => { answer: object; isWrite: boolean },
  ) => {
    router.post(path, answerWith(options, schema, run));
  };

  define('/v3/kv/range', gatewayRequests.range, (request) => {
    const { values, count } = store.range(toKeyRange(request), request.limit);
    return { answer: toWireRange(values, count), isWrite: false };
  });
  define('/v3/kv/txn', gatewayRequests.transaction, ({ compare, success, failure }) => {
    for (const operation of [...success, ...failure]) {
      if (operation.type === 'put' && operation.lease !== 0 && !store.hasLease(operation.lease)) {
        throw new GatewayError(GrpcStatus.notFound, 'etcdserver: requested lease not found');
      }
    }
    const { succeeded, results } = store.transact(compare, success, failure);
    const responses = results.map((result) => toWireResult(result, store.revision));
    return { answer: { ...(succeeded && { succeeded }), responses }, isWrite: true };
  });
  define('/v3/lease/grant', gatewayRequests.leaseGrant, ({ TTL, ID }) => {
    const id = store.grantLease(clock.now(), TTL, ID);
    if (id === undefined) {
      throw new GatewayError(GrpcStatus.failedPrecondition, 'etcdserver: lease already exists');
    }
    return { answer: { ID: String(id), TTL: String(TTL) }, isWrite: true };
  });
  define('/v3/lease/keepalive', gatewayRequests.leaseId, ({ ID }) => {
    const ttl = store.keepLeaseAlive(clock.now(), ID);
    const header = toHeader(store.revision);
    const result = { header, ID: String(ID), ...(ttl > 0 && { TTL: String(ttl) }) };
    return { answer: { result }, isWrite: true };
  });
  define('/v3/lease/revoke', gatewayRequests.leaseId, ({ ID }) => {
    if (!store.revokeLease(ID)) {
      throw new GatewayError(GrpcStatus.notFound, 'etcdserver: requested lease not found');
    }
    return { answer: {}, isWrite: true };
  });
  router.post('/v3/watch', (request, response) => {
    const parsed = gatewayRequests.watch.safeParse(toSnakeCase(request.body));
    if (!parsed.success) {
      sendError(response, new GatewayError(GrpcStatus.invalidArgument, parsed.error.message));
      return;
    }
    options.count(request.path);
    const { create_request: create } = parsed.data;
    watches.start(response, toKeyRange(create), create.start_revision);
  });
  return router;
}

function rateLimit({ injector, clock }: GatewayOptions): RequestHandler {
  return (_request, response, next) => {
    if (injector.takeToken(clock.now())) {
      next();
      return;
    }
    const message = 'etcdserver: too many requests';
    sendError(response, new GatewayError(GrpcStatus.resourceExhausted, message));
  };
}

function answerWith<S extends z.ZodType>(
  options: GatewayOptions,
  schema: S,
  run: (request: z.output<S>) => { answer: object; isWrite: boolean },
): RequestHandler {
  const { store, injector, clock } = options;
  return (request: Request, response: Response) => {
    const parsed = schema.safeParse(toSnakeCase(request.body));
    if (!parsed.success) {
      sendError(response, new GatewayError(GrpcStatus.invalidArgument, parsed.error.message));
      return;
    }
    store.expireLeases(clock.now());
    options.count(request.path);
    try {
      const { answer, isWrite } = run(parsed.data);
      const body = JSON.stringify({ header: toHeader(store.revision), ...answer });
      sendOutcome(response, body, injector.nextOutcome(isWrite));
    } catch (error) {
      if (!(error instanceof GatewayError)) throw error;
      sendError(response, error);
    }
  };
}

function sendOutcome(
  response: Response,
  body: string,
  outcome: ReturnType<FaultInjector['nextOutcome']>,
): void {
  response.type('application/json');
  switch (outcome) {
    case 'send':
      response.send(body);
      return;
    case 'garbage':
      response.send('<html>proxy error</html>');
      return;
    case 'truncate':
      response.setHeader('content-length', Buffer.byteLength(body));
      response.write(body.slice(0, body.length / 2), () => response.destroy());
      return;
    case 'reset':
      response.destroy();
      return;
    case 'hang':
      return;
  }
}

function sendError(response: Response, { grpc, message }: GatewayError): void {
  response.status(grpc.status).json({ error: message, code: grpc.code, message });
}
