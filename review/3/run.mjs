/** A target answers a request with 101; which answers do the requests behind it on the connection get? */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import { join } from 'node:path';
import { StoreStandIn } from '../../out/review/store-stand-in.mjs';
import {
  bodyOf,
  createConfig,
  delay,
  Deployment,
  HOST,
  nextAttemptId,
  runCase,
  stampOf,
  Target,
  TROUBLE,
} from '../lib/harness.mjs';

/** Connections, each with this many requests sent before the first is answered. */
const CONNECTIONS = 4;
const REQUESTS = 3;
const DEADLINE_MS = 4_000;

/** Answers with the status 101 in place of 200; all else is as in a sound answer. */
function spoil(run, response, target) {
  const body = bodyOf(run, target);
  response.socket.write(
    [
      'HTTP/1.1 101 OK',
      `X-Attempt-Id: ${run.attemptId}`,
      `X-Server-Stamp: ${stampOf(run, target)}`,
      `Content-Length: ${body.length}`,
      '',
      body,
    ].join('\r\n'),
  );
}

/**
 * A client that sends several idempotent requests before the first is answered. The answers come in the same
 * order (PROTOCOL.md); interim answers (1xx) that it didn't ask for are passed over (RFC 9110, section 15.2).
 */
class PipelineClient {
  answers = [];
  interim = 0;
  received = Buffer.alloc(0);

  constructor(address, paths) {
    const [host, port] = address.split(':');
    this.requests = paths.map((path) => ({ path, attemptId: nextAttemptId() }));
    this.socket = connect({ host, port: Number(port) });
    this.socket.on('error', () => {});
    this.socket.on('data', (chunk) => {
      this.received = Buffer.concat([this.received, chunk]);
      while (this.readAnswer());
    });
    for (const { path, attemptId } of this.requests) {
      this.socket.write(
        `GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${attemptId}\r\n` +
          `X-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
      );
    }
  }

  /** Reads one whole answer from what was received; returns whether there was one. */
  readAnswer() {
    const end = this.received.indexOf('\r\n\r\n');
    if (end < 0) return false;
    const head = this.received.subarray(0, end).toString('latin1').split('\r\n');
    const status = Number(head[0].split(' ')[1]);
    const fields = Object.fromEntries(
      head.slice(1).map((line) => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
      }),
    );
    const isInterim = status >= 100 && status < 200;
    const length = isInterim ? 0 : Number(fields['content-length'] ?? 0);
    const from = end + 4;
    if (this.received.length < from + length) return false;
    const body = this.received.subarray(from, from + length).toString('latin1');
    this.received = this.received.subarray(from + length);
    if (isInterim) this.interim += 1;
    else this.answers.push({ status, fields, body });
    return true;
  }
}

await runCase(join(import.meta.dirname, 'record.txt'), async (record) => {
  const deployment = new Deployment(new StoreStandIn());
  let spoiled = 0;
  const faulty = new Target({
    id: 'i-a1',
    service: 'alpha',
    behave: (run, response) => {
      if (!TROUBLE || !run.path.startsWith('/alpha/spoil')) return false;
      spoiled += 1;
      record.note(`target i-a1 spoils the status of its answer to ${run.attemptId}`);
      spoil(run, response, 'i-a1');
      return true;
    },
  });
  const targets = [
    faulty,
    new Target({ id: 'i-b1', service: 'beta' }),
    new Target({ id: 'i-g1', service: 'gamma' }),
  ];
  try {
    await deployment.start(
      createConfig(1, {
        a: { pathPrefix: '/alpha/', service: 'alpha' },
        b: { pathPrefix: '/beta/', service: 'beta' },
        c: { pathPrefix: '/gamma/', service: 'gamma' },
      }),
    );
    for (const target of targets) await deployment.add(target);
    const entry = deployment.machines[2];
    for (const machine of deployment.machines) {
      if (!(await machine.waitReady())) throw new Error(`${machine.id} isn't ready`);
    }
    await delay(3_500);
    let [foreign, unanswered] = [0, 0];
    for (let index = 0; index < CONNECTIONS; index += 1) {
      // Only the first connection meets the spoiled answer.
      const first = index === 0 ? '/alpha/spoil' : '/alpha/sound';
      const paths = [first, '/beta/one', '/beta/two'].slice(0, REQUESTS);
      const client = new PipelineClient(entry.entry, paths);
      await delay(DEADLINE_MS + 500);
      client.socket.destroy();
      client.requests.forEach(({ path, attemptId }, place) => {
        const answer = client.answers[place];
        if (answer === undefined) {
          unanswered += 1;
          record.say(`connection ${index}: ${attemptId} (${path}) gets no answer`);
          return;
        }
        const answered = answer.fields['x-attempt-id'];
        const isForeign = answered !== attemptId;
        if (isForeign) foreign += 1;
        record.say(
          `connection ${index}: ${attemptId} (${path}) gets ${answer.status}, ` +
            `stamp ${answer.fields['x-server-stamp']}, body "${answer.body}"` +
            (isForeign ? `: the answer to ${answered}` : ''),
        );
      });
      if (client.interim > 0) record.say(`connection ${index}: ${client.interim} interim answers`);
    }
    record.say(`spoiled answers: ${spoiled}`);
    record.say(`answers that belong to another request: ${foreign}; no answer: ${unanswered}`);
    record.say(foreign > 0 ? 'MIXED is broken' : 'MIXED holds');
    return foreign > 0 ? 1 : 0;
  } finally {
    await deployment.stop();
  }
});
