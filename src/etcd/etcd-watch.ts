/** One watch stream of the key-value service. */
import { createInterface } from 'node:readline';
import got from 'got';
import { createFailure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { createWatchRequest, watchLineSchema } from './etcd-messages.js';
import { classifyError, unpooledAgents } from './http-exchange.js';
import type { WatchEvent } from './platform-client.js';

export interface WatchOptions {
  /** Base URL of the key-value service. */
  readonly url: string;
  readonly prefix: string;
  readonly fromRevision: number;
  /** Time limit for opening the stream, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Opens the stream. Events arrive in order of revision, followed by exactly one `lost`, unless the
 * returned function has stopped the watch.
 */
export function openWatch(
  options: WatchOptions,
  listener: (event: WatchEvent) => void,
): () => void {
  const { url, prefix, fromRevision, timeoutMs } = options;
  let ended = false;
  const stream = got.stream.post(`${url}/v3/watch`, {
    json: createWatchRequest(prefix, fromRevision),
    timeout: { connect: timeoutMs, response: timeoutMs },
    retry: { limit: 0 },
    agent: unpooledAgents,
    followRedirect: false,
  });
  const end = (detail: string | undefined) => {
    if (ended) return;
    ended = true;
    stream.destroy();
    if (detail === undefined) return;
    const failure = createFailure(ResultCode.PlatformUnavailable, `watch lost: ${detail}`);
    listener({ type: 'lost', failure });
  };
  const endWithError = (error: unknown) => {
    const result = classifyError(error);
    end('detail' in result ? result.detail : result.type);
  };
  stream.on('error', endWithError);
  const lines = createInterface({ input: stream });
  // The readline interface emits the errors of its input again.
  lines.on('error', endWithError);
  lines.on('line', (line) => {
    if (!ended) handleLine(line, listener, end);
  });
  // `lines` emits `close` only after all buffered lines have been handled.
  lines.on('close', () => {
    end('stream ended');
  });
  // When the socket is destroyed in the middle of the stream, `lines` may not emit `close`.
  stream.on('close', () => {
    end('stream closed');
  });
  return () => {
    end(undefined);
  };
}

function handleLine(
  line: string,
  listener: (event: WatchEvent) => void,
  end: (detail: string) => void,
): void {
  const parsed = watchLineSchema.safeParse(parseJson(line));
  if (!parsed.success) {
    end('line is not a watch message');
    return;
  }
  const { events, canceled, compact_revision } = parsed.data.result;
  for (const { type, kv } of events) {
    if (type === 'PUT') listener({ type: 'put', keyValue: kv });
  }
  if (canceled)
    end(`canceled by the service, history compacted up to revision ${compact_revision}`);
}

function parseJson(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}
