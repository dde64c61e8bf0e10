/**
 * Measures the latency of one hop with each HTTP library, and with a whole node. Every path is a
 * separate process between the same caller and the same back end; calls go to all paths in turn.
 * "Added" is the difference of quantiles to the direct path, not a quantile of differences.
 *
 * Usage: node scripts/bench-http-libraries.mjs [calls per second per path] [seconds]
 */
import { fork } from 'node:child_process';
import { Buffer } from 'node:buffer';
import { Agent, createServer, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { fileURLToPath } from 'node:url';
import express from 'express';
import got from 'got';
import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';

const SERVICE_MS = 5;
/** Thousands of calls to each process: code that is not compiled yet costs up to 1 ms per call. */
const WARM_UP_SECONDS = 15;
const WARM_UP_RATE = 200;
const CONNECTIONS = 200;
const IDLE_CONNECTION_MS = 4000;
const PERCENTILES = [50, 90, 99];
const script = fileURLToPath(import.meta.url);

const createAgent = () =>
  new Agent({ keepAlive: true, scheduling: 'lifo', timeout: IDLE_CONNECTION_MS });

/** By library: creates a function that calls a back end and resolves to the complete answer. */
const clients = {
  'node:http': (port) => {
    const agent = createAgent();
    return (path, headers) =>
      new Promise((resolve, reject) => {
        const outgoing = request({ host: '127.0.0.1', port, path, headers, agent }, (answer) => {
          const chunks = [];
          answer.on('data', (chunk) => chunks.push(chunk));
          answer.on('end', () => {
            const { statusCode: status, rawHeaders } = answer;
            resolve({ status, rawHeaders, body: Buffer.concat(chunks) });
          });
        });
        outgoing.on('error', reject);
        outgoing.end();
      });
  },
  undici: (port) => {
    const pool = new Pool(`http://127.0.0.1:${port}`, { connections: CONNECTIONS });
    return async (path, headers) => {
      const sent = { ...headers };
      delete sent.connection;
      const answer = await pool.request({
        path,
        method: 'GET',
        headers: sent,
        responseHeaders: 'raw',
      });
      const body = Buffer.from(await answer.body.arrayBuffer());
      return { status: answer.statusCode, rawHeaders: answer.headers.map(String), body };
    };
  },
  got: (port) => {
    const agent = { http: createAgent() };
    return async (path, headers) => {
      const answer = await got(`http://127.0.0.1:${port}${path}`, {
        headers,
        agent,
        retry: { limit: 0 },
        throwHttpErrors: false,
        followRedirect: false,
        decompress: false,
        responseType: 'buffer',
      });
      return { status: answer.statusCode, rawHeaders: answer.rawHeaders, body: answer.body };
    };
  },
};

function createListener(framework, handle) {
  if (framework === 'node:http') return handle;
  const application = express();
  application.disable('x-powered-by');
  application.use(handle);
  return application;
}

function listen(listener) {
  const server = createServer({ noDelay: true }, listener);
  server.listen(0, '127.0.0.1', () => {
    process.send({ port: server.address().port });
  });
}

function runBackend() {
  listen((incoming, response) => {
    incoming.resume();
    setTimeout(() => {
      const body = '{"ok":true}';
      response.writeHead(200, { 'content-length': body.length });
      response.end(body);
    }, SERVICE_MS);
  });
}

function runProxy(framework, library, backendPort) {
  const call = clients[library](backendPort);
  const handle = async (incoming, response) => {
    const { status, rawHeaders, body } = await call(incoming.url, incoming.headers);
    response.writeHead(status, rawHeaders);
    response.end(body);
  };
  listen(createListener(framework, (incoming, response) => void handle(incoming, response)));
}

async function runNode(backendPort) {
  const { DataPathFleet } = await import('../dist/test/support/data-path-node.js');
  const fleet = new DataPathFleet();
  const kind = { criticality: 'normal', attempts: 3, idempotent: true, deadlineMs: 2000 };
  const address = `127.0.0.1:${backendPort}`;
  fleet.apply({
    apiVersion: 'sillshore/v1',
    tenant: 'test',
    services: [
      {
        name: 'guide',
        hosts: ['guide'],
        slots: CONNECTIONS,
        connections: CONNECTIONS,
        targets: [{ id: 'guide-1', zone: 'zone-a', address }],
        kinds: [{ ...kind, name: 'step', match: { pathPrefix: '/' } }],
      },
    ],
  });
  const node = await fleet.start('node-a', ['guide-1']);
  process.send({ port: node.entryPort });
}

const children = [];

async function startPath(name, ...role) {
  const child = fork(script, role.map(String));
  children.push(child);
  const { port } = await new Promise((resolve) => child.once('message', resolve));
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  return { name, port, agent: createAgent(), histogram };
}

function callOnce(path) {
  return new Promise((resolve, reject) => {
    const started = performance.now();
    const { port, agent } = path;
    const headers = { host: 'guide', accept: 'application/json' };
    const outgoing = request({ host: '127.0.0.1', port, agent, path: '/steps/1', headers });
    outgoing.on('error', reject);
    outgoing.on('response', (response) => {
      response.resume();
      response.on('end', () => {
        if (response.statusCode !== 200) reject(new Error(`status ${response.statusCode}`));
        resolve((performance.now() - started) * 1000);
      });
    });
    outgoing.end();
  });
}

/** Open-loop load with Poisson arrivals, to all paths in turn. */
async function load(paths, rate, seconds) {
  const pending = [];
  const end = performance.now() + seconds * 1000;
  let next = performance.now();
  for (let count = 0; performance.now() < end; count += 1) {
    const path = paths[count % paths.length];
    pending.push(callOnce(path).then((micros) => path.histogram.recordValue(micros)));
    next += (-Math.log(1 - Math.random()) * 1000) / (rate * paths.length);
    const wait = next - performance.now();
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait));
  }
  await Promise.all(pending);
}

function printTable([direct, ...others]) {
  const at = ({ histogram }, percentile) => histogram.getValueAtPercentile(percentile) / 1000;
  const directFigures = PERCENTILES.map((percentile) => at(direct, percentile).toFixed(2));
  console.log(`direct: ${directFigures.join(' / ')} ms at p50 / p90 / p99`);
  for (const path of others) {
    const added = PERCENTILES.map((p) => (at(path, p) - at(direct, p)).toFixed(2));
    console.log(`${path.name}: added ${added.join(' / ')} ms, ${path.histogram.totalCount} calls`);
  }
}

async function main(rate, seconds) {
  const backend = await startPath('direct', 'backend');
  const paths = [backend];
  for (const framework of ['node:http', 'express']) {
    for (const library of Object.keys(clients)) {
      const name = `${framework} + ${library}`;
      paths.push(await startPath(name, 'proxy', framework, library, backend.port));
    }
  }
  paths.push(await startPath('whole node', 'node', backend.port));
  await load(paths, WARM_UP_RATE, WARM_UP_SECONDS);
  for (const path of paths) path.histogram.reset();
  await load(paths, rate, seconds);
  printTable(paths);
  for (const { agent } of paths) agent.destroy();
}

process.on('disconnect', () => process.exit(0));
const [role, ...rest] = process.argv.slice(2);
if (role === 'backend') runBackend();
else if (role === 'proxy') runProxy(rest[0], rest[1], Number(rest[2]));
else if (role === 'node') await runNode(Number(rest[0]));
else {
  try {
    await main(Number(role ?? 77), Number(rest[0] ?? 10));
  } finally {
    for (const child of children) child.kill();
  }
}
