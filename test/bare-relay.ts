/**
 * The least that serves requests on the machines: a baseline for the processor time of a call,
 * never a product. Node beside each target, requests by HTTP to the node beside the chosen target,
 * whole bodies, no gate, no queue, no priorities, one repeat when a node cannot be reached.
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

const STORE_TIMEOUT_MS = 1_000;
const WAIT_MS = 10_000;
const PAUSE_MS = 500;
const BAD_GATEWAY = 502;
const UNAVAILABLE = 503;

const settings = validateSidecarSettings(
  JSON.parse(readFileSync(process.argv[2] ?? '', 'utf8')),
).unwrapOrElse((failure) => {
  throw new Error(failure.detail);
});
const { fields, readinessPath, rulesKey, parseRules, acknowledgement } = platformAdapter;
const eras = new StoreEras();
const store = platformAdapter.createStore(settings.store.address, STORE_TIMEOUT_MS, eras);
const backoff = new StoreBackoff(systemClock, createRandom(seedOf(`${settings.node.id} store`)));
const agent = new Agent({ keepAlive: true });
const places = new Map<string, NodeRecord>();
let table: RouteTable | undefined;
let turn = 0;

/** Follows a prefix of the store. */
function follow(prefix: string, take: (key: string, value: Buffer) => void): void {
  const watch = new PrefixWatch({
    prefix,
    store,
    backoff,
    eras,
    clock: systemClock,
    log: silentEventLog,
    random: createRandom(seedOf(`${settings.node.id} ${prefix}`)),
    waitMs: () => WAIT_MS,
    pauseAfterEventsMs: () => PAUSE_MS,
    onListing: (items) => {
      for (const { key, value } of items) take(key, value);
    },
    onEvents: (events) => {
      for (const event of events) if (event.type === 'put') take(event.key, event.value);
    },
  });
  void watch.run();
}

/** Writes this node's record; the target counts as ready from the start. */
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

function choose(service: string, tried: string | undefined): NodeRecord | undefined {
  const all = [...places.values()].filter(
    (place) => place.service === service && place.node !== tried,
  );
  const near = all.filter(({ zone }) => zone === settings.node.zone);
  const from = near.length > 0 ? near : all;
  turn += 1;
  return from[turn % from.length];
}

function readBody(message: IncomingMessage, onBody: (body: Buffer) => void): void {
  const chunks: Buffer[] = [];
  message.on('data', (chunk: Buffer) => chunks.push(chunk));
  message.on('end', () => {
    onBody(Buffer.concat(chunks));
  });
  message.on('error', () => {
    // The end of the connection ends the exchange.
  });
}

/** All fields but those of one connection. */
function endToEnd(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const kept = { ...headers };
  delete kept['transfer-encoding'];
  delete kept.connection;
  return kept;
}

/** Sends a request on with its fields and gives the whole answer back. */
function forward(
  address: string,
  incoming: IncomingMessage,
  body: Buffer,
  extra: Readonly<Record<string, string>>,
  response: ServerResponse,
  onUnreachable: () => void,
): void {
  const { host, port } = splitAddress(address);
  const headers = { ...endToEnd(incoming.headers), ...extra, 'content-length': body.length };
  const { method, url } = incoming;
  const outgoing = httpRequest({ host, port, method, path: url, headers, agent });
  outgoing.on('response', (answer) => {
    readBody(answer, (answered) => {
      const status = answer.statusCode ?? BAD_GATEWAY;
      response.writeHead(status, {
        ...endToEnd(answer.headers),
        'content-length': answered.length,
      });
      response.end(answered);
    });
  });
  outgoing.on('error', onUnreachable);
  outgoing.end(body);
}

function enter(incoming: IncomingMessage, response: ServerResponse): void {
  const service = table?.find(incoming.headers.host ?? '', incoming.url ?? '')?.nextService();
  readBody(incoming, (body) => {
    const first = service === undefined ? undefined : choose(service, undefined);
    if (service === undefined || first === undefined) {
      const isUnknown = table !== undefined && service === undefined;
      response.writeHead(isUnknown ? 404 : UNAVAILABLE, { 'Retry-After': '0.3' }).end();
      return;
    }
    const extra = { [fields.callerService]: settings.target.service };
    forward(first.address, incoming, body, extra, response, () => {
      const second = choose(service, first.node);
      const giveUp = (): void => {
        response.writeHead(BAD_GATEWAY).end();
      };
      if (second === undefined) giveUp();
      else forward(second.address, incoming, body, extra, response, giveUp);
    });
  });
}

function serveTarget(incoming: IncomingMessage, response: ServerResponse): void {
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
listen(addresses.entry, enter);
listen(`${addresses.host}:${addresses.ports[0]}`, serveTarget);
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
follow(NODE_RECORD_PREFIX, (key, value) => {
  const place = decodeNodeRecord(key, value);
  if (place !== undefined) places.set(place.node, place);
});
follow(rulesKey, (key, value) => {
  if (key !== rulesKey) return;
  const rules = parseRules(value);
  if (rules.isOk && rules.value.version > (table?.rules.version ?? 0)) {
    table = new RouteTable(rules.value);
  }
});
process.on('SIGHUP', () => {
  // Settings do not change here.
});
process.on('SIGTERM', () => {
  setTimeout(() => process.exit(0), 3_000);
});
