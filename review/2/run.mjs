/** A target that turns a request away says so twice; what becomes of the request when it is sent again? */
import { Buffer } from 'node:buffer';
import { join } from 'node:path';
import { StoreStandIn } from '../../out/review/store-stand-in.mjs';
import {
  Client,
  createConfig,
  delay,
  Deployment,
  now,
  runCase,
  Target,
  TROUBLE,
} from '../lib/harness.mjs';

/** Promises that a client has to log, one after the other. */
const PROMISES = 4;
/** Sound answers of the target before each of them. */
const READS = 24;
const WORK_MS = 400;
/** The surplus answer comes this much later. */
const SURPLUS_MS = 80;
/** Statuses that promise that the request has not run and never will. */
const PROMISED = new Set([408, 421, 429, 503]);

/** Turns each promise away once, when it arrives first, since it is full then; runs it when it comes again. */
class FullTarget extends Target {
  turnedAway = new Set();
  surplus = 0;

  receive(request, response) {
    const chunks = [];
    if (request.url !== '/beta/log') {
      super.receive(request, response);
      return;
    }
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const promise = Buffer.concat(chunks).toString();
      if (this.turnedAway.has(promise)) this.run(request, response, promise);
      else this.turnAway(request, response, promise);
    });
  }

  turnAway(request, response, promise) {
    const { socket } = request;
    const attemptId = request.headers['x-attempt-id'];
    this.turnedAway.add(promise);
    const fields = { 'X-Attempt-Id': attemptId, 'X-Not-Executed': '1', 'Content-Length': '4' };
    response.writeHead(503, fields).end('full');
    if (!TROUBLE) return;
    setTimeout(() => {
      if (socket.destroyed) return;
      this.surplus += 1;
      socket.write(
        'HTTP/1.1 503 Service Unavailable\r\n' +
          `X-Attempt-Id: ${attemptId}\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull`,
      );
    }, SURPLUS_MS);
  }

  run(request, response, body) {
    const attemptId = request.headers['x-attempt-id'];
    const run = { attemptId, at: now(), body, isDone: false };
    this.runs.push(run);
    setTimeout(() => {
      // It has logged the promise, whether its caller is still there or not.
      run.isDone = true;
      this.answer(run, response);
    }, WORK_MS);
  }
}

await runCase(join(import.meta.dirname, 'record.txt'), async (record) => {
  const deployment = new Deployment(new StoreStandIn());
  const ledger = new FullTarget({ id: 'i-b1', service: 'beta', workMs: 5 });
  try {
    await deployment.start(
      createConfig(1, {
        b: { pathPrefix: '/beta/', service: 'beta', kind: 'non_idempotent', maxAttempts: 2 },
        r: { pathPrefix: '/reads/', service: 'beta' },
        c: { pathPrefix: '/gamma/', service: 'gamma' },
      }),
    );
    for (const target of [ledger, new Target({ id: 'i-g1', service: 'gamma' })]) {
      await deployment.add(target);
    }
    const entry = deployment.machines[1];
    for (const machine of deployment.machines) {
      if (!(await machine.waitReady())) throw new Error(`${machine.id} isn't ready`);
    }
    await delay(3_500);
    const begunAt = now();
    const tries = [];
    let reads = 0;
    for (let promise = 1; promise <= PROMISES; promise += 1) {
      for (let read = 0; read < READS; read += 1) {
        const { status } = await new Client(entry.entry, { keep: false }).send({
          path: '/reads/a',
        });
        if (status === 200) reads += 1;
      }
      // A sound client: after a promise that the request has not run, it waits as told and tries once more.
      for (let attempt = 1; attempt <= 2; attempt += 1) {
        const client = new Client(entry.entry, { keep: false });
        const result = await client.send({
          method: 'POST',
          path: '/beta/log',
          body: `promise ${promise}`,
        });
        tries.push({ promise, ...result });
        if (result.type !== 'answer' || !PROMISED.has(result.status)) break;
        const retryAfterMs = Number(result.headers['retry-after'] ?? 0) * 1_000;
        await delay(Math.min(retryAfterMs, (4_000 - (result.endedAt - result.sentAt)) / 3));
      }
      await delay(WORK_MS + 200);
    }
    let refusedAndRun = 0;
    for (const { promise, attemptId, type, status, detail, body, endedAt } of tries) {
      const runs = ledger.runs.filter((run) => run.attemptId === attemptId);
      const isBroken = type === 'answer' && PROMISED.has(status) && runs.length > 0;
      if (isBroken) refusedAndRun += 1;
      const times = runs.map((run) => `${Math.round(run.at - begunAt)} ms`).join(', ');
      record.say(
        `promise ${promise}, try ${attemptId}: ${type} ${status ?? detail} ` +
          `at ${Math.round(endedAt - begunAt)} ms, run at [${times}]` +
          (isBroken ? ': refused, and run' : ''),
      );
      if (isBroken) record.note(`  the answer: ${body}`);
    }
    const twice = Array.from({ length: PROMISES }, (_, index) => `promise ${index + 1}`).filter(
      (text) => ledger.runs.filter(({ body, isDone }) => isDone && body === text).length > 1,
    ).length;
    record.say(
      `reads with 200: ${reads}; turned away: ${ledger.turnedAway.size}; ` +
        `surplus answers: ${ledger.surplus} beside ${ledger.answers}, in ${Math.round(now() - begunAt)} ms`,
    );
    record.say(`promises logged twice, since the client was told that they weren't: ${twice}`);
    record.say(`tries refused with a promise that they haven't run, and run: ${refusedAndRun}`);
    record.say(refusedAndRun > 0 ? 'REFUSED is broken' : 'REFUSED holds');
    return refusedAndRun > 0 ? 1 : 0;
  } finally {
    await deployment.stop();
  }
});
