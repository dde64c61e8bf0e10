/**
 * Serves a Connect router under express. Unlike the library's own middleware it also adds a result
 * code to the errors that the library creates itself: malformed JSON, wrong types, wrong content
 * type, oversized bodies.
 */
import { Code, ConnectError, createConnectRouter } from '@connectrpc/connect';
import type { ConnectRouter, ContextValues, Interceptor } from '@connectrpc/connect';
import {
  universalRequestFromNodeRequest,
  universalResponseToNodeResponse,
} from '@connectrpc/connect-node';
import type { UniversalServerResponse } from '@connectrpc/connect/protocol';
import { errorToJsonBytes } from '@connectrpc/connect/protocol-connect';
import type { Request, RequestHandler, Response } from 'express';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { RESULT_HEADER, toConnectError } from './connect-error.js';

export interface ConnectMiddlewareOptions {
  readonly routes: (router: ConnectRouter) => void;
  /** Largest request message in bytes. */
  readonly maxRequestBytes: number;
  /** Ends the streams when it aborts. */
  readonly shutdownSignal: AbortSignal;
  /** Interceptors of every method, in the order in which they run. */
  readonly interceptors: readonly Interceptor[];
  /** Creates the values of a request that interceptors and methods read. */
  readonly contextValues: (request: Request) => ContextValues;
  /** Called with unexpected errors, which are defects. */
  readonly onDefect: (error: unknown) => void;
}

const RESULT_BY_HTTP_STATUS: Readonly<Record<number, ResultCode>> = {
  400: ResultCode.MalformedRequest,
  405: ResultCode.MalformedRequest,
  413: ResultCode.BodyTooLarge,
  415: ResultCode.InvalidField,
  429: ResultCode.BodyTooLarge,
};

/** Creates the middleware; requests for paths without a method go to the next handler. */
export function createConnectMiddleware(options: ConnectMiddlewareOptions): RequestHandler {
  const router = createConnectRouter({
    connect: true,
    grpc: false,
    grpcWeb: false,
    readMaxBytes: options.maxRequestBytes,
    shutdownSignal: options.shutdownSignal,
    // Otherwise a misspelt member would be ignored and its default used.
    jsonOptions: { ignoreUnknownFields: false },
    interceptors: [reportDefects(options.onDefect), ...options.interceptors],
  });
  options.routes(router);
  const handlers = new Map(router.handlers.map((handler) => [handler.requestPath, handler]));
  return (request, response, next) => {
    const handler = handlers.get(request.path);
    if (handler === undefined) {
      next();
      return;
    }
    const values = options.contextValues(request);
    handler(universalRequestFromNodeRequest(request, response, undefined, values))
      .then((answer) => addResultCode(answer))
      .then((answer) => universalResponseToNodeResponse(answer, response))
      .catch((error: unknown) => {
        if (ConnectError.from(error).code !== Code.Aborted) options.onDefect(error);
      });
  };
}

/** Responds to a request with a failure in the form of a Connect error. */
export function sendConnectError(response: Response, failure: Failure): void {
  const { status, header, body } = toResponse(failure);
  response.status(status).set(header).end(body);
}

/** Returns the method's name, the last segment of the request's path; for logs. */
export function methodOf(request: Request): string {
  return request.path.split('/').at(-1) ?? '';
}

/** Reports errors of a method other than Connect errors; the client gets an internal error. */
function reportDefects(onDefect: (error: unknown) => void): Interceptor {
  return (next) => async (request) => {
    try {
      return await next(request);
    } catch (error) {
      if (!(error instanceof ConnectError)) onDefect(error);
      throw error;
    }
  };
}

async function addResultCode(answer: UniversalServerResponse): Promise<UniversalServerResponse> {
  const header = answer.header ?? new Headers();
  if (answer.status < 400 || header.has(RESULT_HEADER)) return answer;
  const message = await readMessage(answer.body);
  // The library reports a malformed binary message as an internal error.
  const status = message.startsWith('parse binary:') ? 400 : answer.status;
  const code = RESULT_BY_HTTP_STATUS[status] ?? ResultCode.Internal;
  const { body, header: errorHeader } = toResponse(createFailure(code, message));
  for (const [name, value] of Object.entries(errorHeader)) header.set(name, value);
  return { ...answer, status, header, body: toAsyncIterable(body) };
}

function toResponse(failure: Failure): {
  status: number;
  header: Record<string, string>;
  body: Uint8Array;
} {
  const error = toConnectError(failure);
  const body = errorToJsonBytes(error, undefined);
  const header = {
    'content-type': 'application/json',
    'content-length': String(body.byteLength),
    [RESULT_HEADER]: String(failure.code),
  };
  return { status: HTTP_STATUS_BY_CONNECT_CODE[error.code] ?? 500, header, body };
}

const HTTP_STATUS_BY_CONNECT_CODE: Partial<Record<Code, number>> = {
  [Code.InvalidArgument]: 400,
  [Code.Unauthenticated]: 401,
  [Code.NotFound]: 404,
  [Code.ResourceExhausted]: 429,
};

async function readMessage(body: AsyncIterable<Uint8Array> | undefined): Promise<string> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body ?? []) chunks.push(chunk);
  try {
    const parsed: unknown = JSON.parse(Buffer.concat(chunks).toString('utf8'));
    return String((parsed as { message?: unknown }).message ?? 'request not understood');
  } catch {
    return 'method or content type not supported';
  }
}

async function* toAsyncIterable(bytes: Uint8Array): AsyncGenerator<Uint8Array> {
  yield bytes;
}
