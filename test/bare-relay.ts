/**
 * A minimal relay for the machines: a baseline for the processor time of a call, not a product.
 * One node runs beside each target and sends requests over HTTP to the chosen target's node. It
 * buffers whole bodies, has no gate, queue or priorities, and retries once when a node is unreachable.
 *
 * Bundled by `scripts/bundle-relay.mjs`; run as `node target/bare-relay.mjs SETTINGS`.
 */
import {
  Agent,
  createServer,
  request as httpRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import { readFileSync } from 'node:fs';
import { StoreConnections } from '../src/store/store-connections.js';
import { StoreEras } from '../src/store/store-eras.js';
import { platformAdapter } from '../platform/adapter.js';
import { createRandom } from '../src/core/random.js';
import { systemClock } from '../src/kernel/clock.js';
import { silentEventLog } from '../src/kernel/event.js';
import { splitAddress } from '../src/core/host-and-port.js';
import {
  decodeNodeRecord,
  NODE_RECORD_PREFIX,
  type NodeRecord,
} from '../src/sidecar/directory/node-record.js';
import { StoreBackoff } from '../src/store/store-backoff.js';
import { PrefixWatch } from '../src/sidecar/directory/prefix-watch.js';
import { RecordPublisher } from '../src/sidecar/directory/record-publisher.js';
import { RouteTable } from '../src/sidecar/rules/route-table.js';
import { seedOf } from '../src/sidecar/seed.js';
import { validateSidecarSettings } from '../src/sidecar/settings.js';
import { createAnswerIntake } from './support/answer-intake.js';

const STORE_TIMEOUT_MS = 1_000;
const WATCH_WAIT_MS = 10_000;
const PAUSE_AFTER_EVENTS_MS = 500;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;

const settings = validateSidecarSettings(
  JSON.parse(readFileSync(process.argv[2] ?? '', 'utf8')),
).unwrapOrElse((failure) => {
  throw new Error(failure.detail);
});
const { fields, readinessPath, rulesKey, parseRules, acknowledgement } = platformAdapter;
const eras = new StoreEras();
const connections = new StoreConnections(settings.store.address, createAnswerIntake());
const store = platformAdapter.createStore(connections, STORE_TIMEOUT_MS, eras);
const backoff = new StoreBackoff(systemClock, createRandom(seedOf(`${settings.node.id} store`)));
const agent = new Agent({ keepAlive: true });
const nodeRecords = new Map<string, NodeRecord>();
let table: RouteTable | undefined;
let roundRobinIndex = 0;

/** Calls `onPut` for each key with this prefix in the store, now and when it changes. */
function watchPrefix(prefix: string, onPut: (key: string, value: Buffer) => void): void {
  const watch = new PrefixWatch({
    prefix,
    store,
    backoff,
    eras,
    clock: systemClock,
    log: silentEventLog,
    random: createRandom(seedOf(`${settings.node.id} ${prefix}`)),
    waitMs: () => WATCH_WAIT_MS,
    pauseAfterEventsMs: () => PAUSE_AFTER_EVENTS_MS,
    onListing: (items) => {
      for (const { key, value } of items) onPut(key, value);
    },
    onEvents: (events) => {
      for (const event of events) if (event.type === 'put') onPut(event.key, event.value);
    },
  });
  void watch.run();
}

/** Writes this node's record, with the target as ready from the start. */
async function publish(): Promise<void> {
  const { node, listen, target } = settings;
  const { id, zone, region } = node;
  const publisher = new RecordPublisher({
    node: id,
    store,
    eras,
    clock: systemClock,
    log: silentEventLog,
    random: createRandom(seedOf(`${id} record`)),
  });
  const address = `${listen.host}:${listen.ports[0]}`;
  const { service } = target;
  publisher.start();
  await publisher.publish({
    node: id,
    address,
    zone,
    region,
    service,
    targetId: '',
    target: 'ready',
  });
}

function chooseNode(service: string, excludedNode: string | undefined): NodeRecord | undefined {
  const all = [...nodeRecords.values()].filter(
    (nodeRecord) => nodeRecord.service === service && nodeRecord.node !== excludedNode,
  );
  const near = all.filter(({ zone }) => zone === settings.node.zone);
  const from = near.length > 0 ? near : all;
  roundRobinIndex += 1;
  return from[roundRobinIndex % from.length];
}

function readBody(message: IncomingMessage, onBody: (body: Buffer) => void): void {
  const chunks: Buffer[] = [];
  message.on('data', (chunk: Buffer) => chunks.push(chunk));
  message.on('end', () => {
    onBody(Buffer.concat(chunks));
  });
  message.on('error', () => {
    // The exchange ends when the connection closes.
  });
}

/** Header fields except `Transfer-Encoding` and `Connection`, which belong to one connection. */
function withoutConnectionFields(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const endToEndFields = { ...headers };
  delete endToEndFields['transfer-encoding'];
  delete endToEndFields.connection;
  return endToEndFields;
}

/** Forwards a request with its fields and answers the caller with the whole response. */
function forward(
  address: string,
  incoming: IncomingMessage,
  body: Buffer,
  extra: Readonly<Record<string, string>>,
  response: ServerResponse,
  onUnreachable: () => void,
): void {
  const { host, port } = splitAddress(address);
  const headers = {
    ...withoutConnectionFields(incoming.headers),
    ...extra,
    'content-length': body.length,
  };
  const { method, url } = incoming;
  const outgoing = httpRequest({ host, port, method, path: url, headers, agent });
  outgoing.on('response', (answer) => {
    readBody(answer, (answerBody) => {
      const status = answer.statusCode ?? BAD_GATEWAY;
      response.writeHead(status, {
        ...withoutConnectionFields(answer.headers),
        'content-length': answerBody.length,
      });
      response.end(answerBody);
    });
  });
  outgoing.on('error', onUnreachable);
  outgoing.end(body);
}

function handleCallerRequest(incoming: IncomingMessage, response: ServerResponse): void {
  const service = table?.find(incoming.headers.host ?? '', incoming.url ?? '')?.nextService();
  readBody(incoming, (body) => {
    const first = service === undefined ? undefined : chooseNode(service, undefined);
    if (service === undefined || first === undefined) {
      const isUnknown = table !== undefined && service === undefined;
      response.writeHead(isUnknown ? 404 : UNAVAILABLE, { 'Retry-After': '0.3' }).end();
      return;
    }
    const extra = { [fields.callerService]: settings.target.service };
    forward(first.address, incoming, body, extra, response, () => {
      const second = chooseNode(service, first.node);
      const giveUp = (): void => {
        response.writeHead(BAD_GATEWAY).end();
      };
      if (second === undefined) giveUp();
      else forward(second.address, incoming, body, extra, response, giveUp);
    });
  });
}

function handlePeerRequest(incoming: IncomingMessage, response: ServerResponse): void {
  readBody(incoming, (body) => {
    forward(settings.target.address, incoming, body, {}, response, () => {
      response.writeHead(BAD_GATEWAY).end();
    });
  });
}

function listen(address: string, handle: (i: IncomingMessage, r: ServerResponse) => void): void {
  const { host, port } = splitAddress(address);
  createServer({ keepAliveTimeout: 30_000 }, handle).listen(port, host);
}

const { listen: addresses } = settings;
listen(addresses.entry, handleCallerRequest);
listen(`${addresses.host}:${addresses.ports[0]}`, handlePeerRequest);
listen(addresses.readiness, (incoming, response) => {
  const ready = table !== undefined && incoming.url === readinessPath;
  response.writeHead(ready ? 200 : UNAVAILABLE).end();
});
listen(addresses.registration, (incoming, response) => {
  readBody(incoming, () => {
    response.writeHead(200, { 'Content-Type': acknowledgement.contentType });
    response.end(acknowledgement.body);
  });
});
void publish();
watchPrefix(NODE_RECORD_PREFIX, (key, value) => {
  const nodeRecord = decodeNodeRecord(key, value);
  if (nodeRecord !== undefined) nodeRecords.set(nodeRecord.node, nodeRecord);
});
watchPrefix(rulesKey, (key, value) => {
  if (key !== rulesKey) return;
  const rules = parseRules(value);
  if (rules.isOk && rules.value.version > (table?.rules.version ?? 0)) {
    table = new RouteTable(rules.value);
  }
});
process.on('SIGHUP', () => {
  // The relay does not reload its settings.
});
process.on('SIGTERM', () => {
  setTimeout(() => process.exit(0), 3_000);
});
