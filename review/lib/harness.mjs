/**
 * A small deployment for the cases of this review: the project's own program as separate processes,
 * with the command of the deploy file, over stand-ins of store and targets in this process. All addresses
 * are loopback addresses. `review/build.sh` builds the project's store stand-in that is used here.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, createServer as createHttpServer, request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Buffer } from 'node:buffer';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
export const HOST = 'mesh.example';
export { delay };

/** Whether the case runs with its disruption. */
export const TROUBLE = process.env['TROUBLE'] !== '0';

/** Milliseconds of the real, steady clock. */
export const now = () => performance.now();

/** Collects what is written to `record.txt`. */
export class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = now();
    this.lines = [];
  }

  note(text) {
    const line = `${((now() - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`;
    this.lines.push(line);
  }

  /** Also prints the line. */
  say(text) {
    this.note(text);
    console.log(text);
  }

  write() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}

/** Ports below those that the system gives to outgoing connections, which could take one of a stopped node. */
const FIRST_PORT = 12_000;
const PORTS = 18_000;
const usedPorts = new Set();

function isFree(port) {
  return new Promise((done) => {
    const server = createServer();
    server.on('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });
}

async function findFreePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (usedPorts.has(port) || !(await isFree(port))) continue;
    usedPorts.add(port);
    ports.push(port);
  }
  return ports;
}

/** A sound target as PROTOCOL.md describes it. `behave` may replace the default answer. */
export class Target {
  /** Requests that began to run: {attemptId, at, path, method, headers, body, endedAt, cancelled}. */
  runs = [];
  /** Whether it says that it is ready. */
  state = 'ready';
  sequence = 0;
  born = Date.now();
  silentHeartbeats = false;

  constructor({ id, service, zone = 'z1', slots = 40, workMs = 10, behave = () => false }) {
    Object.assign(this, { id, service, zone, slots, workMs, behave });
    this.sockets = new Set();
    this.server = createHttpServer({ keepAliveTimeout: 10_000 }, (request, response) => {
      this.inTurn(request, response, () => this.receive(request, response));
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  listen(port = 0) {
    return new Promise((done) => {
      this.server.listen(port, '127.0.0.1', () => {
        this.port = this.server.address().port;
        done();
      });
    });
  }

  close() {
    clearInterval(this.beats);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Answers given, whatever they were. */
  answers = 0;

  /** On one connection a target serves one request at a time. */
  inTurn(request, response, serve) {
    const { socket } = request;
    const start = () => {
      socket.isServing = true;
      response.once('close', () => {
        if (response.writableFinished) this.answers += 1;
        socket.isServing = false;
        socket.waiting?.shift()?.();
      });
      serve();
    };
    if (socket.isServing !== true) start();
    else (socket.waiting ??= []).push(start);
  }

  receive(request, response) {
    if (request.url === '/health') {
      const healthy = this.state === 'ready';
      response.writeHead(healthy ? 200 : 503, { 'X-Instance-Id': this.id }).end();
      return;
    }
    const chunks = [];
    request.on('error', () => {});
    response.on('error', () => {});
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const attemptId = request.headers['x-attempt-id'];
      const expected = request.headers['x-expected-instance'];
      if (expected !== undefined && expected !== this.id) {
        response
          .writeHead(421, { 'X-Attempt-Id': attemptId, 'X-Instance-Id': this.id })
          .end('another target');
        return;
      }
      const run = {
        attemptId,
        at: now(),
        method: request.method,
        path: request.url,
        headers: request.headers,
        body: Buffer.concat(chunks).toString('latin1'),
        endedAt: undefined,
        cancelled: false,
        target: this.id,
      };
      this.runs.push(run);
      const timer = { cancel: () => {} };
      response.on('close', () => {
        run.endedAt ??= now();
        if (!response.writableFinished) run.cancelled = true;
        timer.cancel();
      });
      if (this.behave(run, response, request) === true) return;
      const workMs = typeof this.workMs === 'function' ? this.workMs(run) : this.workMs;
      const handle = setTimeout(() => this.answer(run, response), workMs);
      timer.cancel = () => handle.close();
    });
  }

  answer(run, response, status = 200, body = bodyOf(run, this.id)) {
    if (response.destroyed || response.headersSent) return;
    response.writeHead(status, {
      'X-Attempt-Id': run.attemptId,
      'X-Server-Stamp': stampOf(run, this.id),
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  }

  heartbeat(registration) {
    this.sequence += 1;
    const { service, zone, slots, state, born, id, sequence } = this;
    return post(registration, `/v1/instances/${id}/heartbeat`, {
      address: this.reportedAddress ?? this.address,
      born,
      information: { service, version: 'v1', zone, slots },
      status: { state, callCount: sequence, coldRemaining: '0ms' },
    });
  }

  deregister(registration) {
    return post(registration, `/v1/instances/${this.id}/deregister`, { born: this.born });
  }

  /** Sends heartbeats as the pages say. */
  beat(registration, intervalMs = 1500) {
    void this.heartbeat(registration);
    this.beats = setInterval(() => {
      if (!this.silentHeartbeats) void this.heartbeat(registration);
    }, intervalMs);
  }
}

export const stampOf = (run, id) => `stamp-${id}-${run.attemptId}`;
export const bodyOf = (run, id) => `answer of ${id} to ${run.attemptId}`;

function post(address, path, document) {
  const [host, port] = address.split(':');
  const body = JSON.stringify(document);
  return new Promise((done) => {
    const headers = {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    };
    const request = httpRequest(
      { host, port, method: 'POST', path, headers, agent: false, timeout: 1000 },
      (response) => {
        response.resume();
        response.on('end', () => done(response.statusCode));
        response.on('error', () => done(0));
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => done(0));
    request.end(body);
  });
}

/** The operators' document of this deployment. */
export function createConfig(version, routes, more = {}) {
  const services = [
    ...new Set(
      Object.values(routes).flatMap(({ service, trafficSplit }) =>
        service === undefined ? trafficSplit.map((part) => part.service) : [service],
      ),
    ),
  ];
  return JSON.stringify({
    version,
    routes: Object.fromEntries(
      Object.entries(routes).map(([name, route]) => [
        name,
        {
          host: HOST,
          kind: 'idempotent',
          timeout: '4000ms',
          aim: '1500ms',
          priority: 1,
          maxAttempts: 2,
          ...route,
        },
      ]),
    ),
    services: Object.fromEntries(
      services.map((name) => [name, { healthPath: '/health', maxConnections: 400 }]),
    ),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeout: '3000ms',
      idleTimeout: '15000ms',
    },
    ...more,
  });
}

/** One machine: the project's node as a process of its own, beside its target. */
export class Machine {
  starts = 0;
  /** Ends of the process: {at, code, signal, asked}. */
  ends = [];
  asked = false;
  output = '';

  constructor(options) {
    Object.assign(this, options);
  }

  start() {
    this.starts += 1;
    this.asked = false;
    const argv = [
      '--max-old-space-size=120',
      'target/sillshore-sidecar.cjs',
      'sidecar',
      '--settings',
      this.settingsPath,
    ];
    const child = spawn(process.execPath, argv, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env['PATH'], HOME: process.env['HOME'], LANG: process.env['LANG'] },
    });
    this.child = child;
    this.startedAt = now();
    this.exited = new Promise((done) => {
      child.on('exit', (code, signal) => {
        this.ends.push({ at: now(), code, signal, asked: this.asked });
        this.onExit?.(code, signal, this.asked);
        done({ code, signal });
      });
    });
    const keep = (chunk) => {
      this.output = (this.output + chunk.toString().replaceAll(`${ROOT}/`, '')).slice(-200_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
  }

  signal(name) {
    if (name === 'SIGTERM' || name === 'SIGKILL') this.asked = true;
    this.child.kill(name);
  }

  /** Resolves when the node says that it is ready. */
  async waitReady(limitMs = 10_000) {
    const end = now() + limitMs;
    while (now() < end) {
      if ((await get(this.ready, '/v1/readiness')) === 200) return true;
      await delay(25);
    }
    console.log(this.output.split('\n').slice(-8).join('\n'));
    return false;
  }
}

function get(address, path) {
  const [host, port] = address.split(':');
  return new Promise((done) => {
    const request = httpRequest({ host, port, path, agent: false, timeout: 500 }, (response) => {
      response.resume();
      done(response.statusCode);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => done(0));
    request.end();
  });
}

/** A whole deployment. */
export class Deployment {
  machines = [];

  constructor(store, { bounds = {}, memoryMb = 350 } = {}) {
    Object.assign(this, { store, bounds, memoryMb });
    this.directory = mkdtempSync(join(tmpdir(), 'sillshore-review-'));
  }

  async start(config) {
    this.storeAddress ??= await this.store.listen();
    if (config !== undefined) this.store.put('op/config', config);
  }

  /** Starts a node beside this target; `relays` may replace the addresses that it is told. */
  async add(target, { start = true, name, relays = {} } = {}) {
    await target.listen();
    const ports = await findFreePorts(5);
    const [entry, ready, registration, link, metrics] = ports.map((port) => `127.0.0.1:${port}`);
    const id = name ?? `sidecar-${target.zone}-${this.machines.length + 1}`;
    const linkPort = ports[3];
    const settingsPath = join(this.directory, `${id}.json`);
    const settings = {
      node: { id, zone: target.zone, region: 'r' },
      listen: {
        entry,
        readiness: ready,
        registration,
        metrics,
        host: '127.0.0.1',
        ports: [linkPort, linkPort],
        ...(relays.advertised === undefined ? {} : { advertised: await relays.advertised(link) }),
      },
      target: { service: target.service, address: target.address },
      store: { address: relays.store ?? this.storeAddress },
      limits: { memoryMb: this.memoryMb },
      bounds: {
        gracePeriod: '6s',
        retryRatio: 0.2,
        retryWindow: '10s',
        retrySlack: 57,
        ...this.bounds,
      },
    };
    writeFileSync(settingsPath, JSON.stringify(settings));
    const machine = new Machine({
      ...{ id, target, entry, ready, registration, metrics, link, settingsPath, settings },
    });
    this.machines.push(machine);
    // The platform starts a process that ended by itself again, after a short delay.
    machine.onExit = (code, signal, asked) => {
      if (!asked) setTimeout(() => machine.start(), 500);
    };
    if (start) {
      machine.start();
      target.beat(registration);
    }
    return machine;
  }

  async stop() {
    for (const machine of this.machines) {
      if (machine.child?.exitCode === null && machine.child.signalCode === null) {
        machine.asked = true;
        machine.child.kill('SIGCONT');
        machine.child.kill('SIGKILL');
        await machine.exited;
      }
      machine.target.close();
    }
    this.store.close();
    rmSync(this.directory, { recursive: true, force: true });
  }
}

let lastAttempt = 0;
export function nextAttemptId(prefix = 'try') {
  lastAttempt += 1;
  return `${prefix}${lastAttempt.toString(16).padStart(8, '0')}`;
}

/** A client with kept connections: sends one request and resolves with what it saw. */
export class Client {
  constructor(address, { keep = true } = {}) {
    [this.host, this.port] = address.split(':');
    this.agent = keep ? new Agent({ keepAlive: true, maxSockets: Infinity }) : false;
  }

  send({
    method = 'GET',
    path,
    body,
    deadlineMs = 4000,
    attemptId = nextAttemptId(),
    headers = {},
    host = HOST,
  }) {
    const sentAt = now();
    return new Promise((done) => {
      let reused = false;
      const end = (outcome) =>
        done({ attemptId, sentAt, endedAt: now(), reused, path, ...outcome });
      const request = httpRequest(
        {
          host: this.host,
          port: this.port,
          agent: this.agent,
          method,
          path,
          headers: {
            Host: host,
            'X-Attempt-Id': attemptId,
            'X-Deadline-Ms': String(deadlineMs),
            ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
            ...headers,
          },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('error', (error) => end({ type: 'cut', detail: error.message }));
          response.on('end', () => {
            if (!response.complete) return;
            end({
              type: 'answer',
              status: response.statusCode,
              headers: response.headers,
              body: Buffer.concat(chunks).toString('latin1'),
            });
          });
        },
      );
      request.on('socket', () => {
        reused = request.reusedSocket;
      });
      request.on('error', (error) =>
        end({ type: error.code === 'ECONNREFUSED' ? 'no connection' : 'cut', detail: error.code }),
      );
      request.end(body);
    });
  }

  close() {
    if (this.agent !== false) this.agent.destroy();
  }
}

/** Runs a case: ends everything, writes the record, and exits with 0, 1 or 2. */
export async function runCase(recordPath, body) {
  const record = new Record(recordPath);
  let code = 2;
  const watchdog = setTimeout(() => {
    record.say('the case took too long');
    record.write();
    process.exit(2);
  }, 115_000);
  try {
    code = await body(record);
  } catch (error) {
    record.say(`the case couldn't run: ${error.stack.replaceAll(`${ROOT}/`, '')}`);
  }
  watchdog.close();
  record.write();
  process.exit(code);
}
