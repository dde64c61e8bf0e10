/** A target spoils the status line of one answer; what happens to the requests of others? */
import { join } from 'node:path';
import { StoreStandIn } from '../../out/review/store-stand-in.mjs';
import {
  bodyOf,
  Client,
  createConfig,
  delay,
  Deployment,
  runCase,
  stampOf,
  Target,
  TROUBLE,
} from '../lib/harness.mjs';

/** Requests that run at a sound target when the spoiled answer arrives. */
const RUNNING = 12;
/** Sound answers of the faulty target before the spoiled one. */
const SOUND = 30;
/** The rule allows three. */
const ALLOWED = 3;
/** The platform starts a process that ended again after a short delay. */
const RESTART_MS = 500;

/** Answers like a sound target, but the first digit of the status is another: 200 becomes 000. */
function spoil(run, response, target) {
  const body = bodyOf(run, target);
  response.socket.write(
    [
      'HTTP/1.1 000 OK',
      `X-Attempt-Id: ${run.attemptId}`,
      `X-Server-Stamp: ${stampOf(run, target)}`,
      `Content-Length: ${body.length}`,
      '',
      body,
    ].join('\r\n'),
  );
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
      record.say(`target i-a1 spoils the status line of its answer to ${run.attemptId}`);
      spoil(run, response, 'i-a1');
      return true;
    },
  });
  const sound = new Target({
    id: 'i-b1',
    service: 'beta',
    workMs: ({ path }) => (path === '/beta/quick' ? 5 : 1_000),
  });
  const local = new Target({ id: 'i-g1', service: 'gamma' });
  const targets = [faulty, sound, local];
  try {
    await deployment.start(
      createConfig(1, {
        a: { pathPrefix: '/alpha/', service: 'alpha' },
        b: { pathPrefix: '/beta/', service: 'beta', kind: 'non_idempotent' },
        c: { pathPrefix: '/gamma/', service: 'gamma' },
      }),
    );
    for (const target of targets) await deployment.add(target);
    const entry = deployment.machines[2];
    for (const machine of deployment.machines) {
      if (!(await machine.waitReady())) throw new Error(`${machine.id} isn't ready`);
    }
    entry.onExit = (code, signal, asked) => {
      if (asked) return;
      record.say(`process of ${entry.id} ends by itself: code ${code}, signal ${signal}`);
      const trace = entry.output.split('\n').filter((line) => /Error|at /.test(line));
      for (const line of trace.slice(0, 6)) record.note(`  its output: ${line.trim()}`);
      setTimeout(() => entry.start(), RESTART_MS);
    };
    await delay(3_500);
    const clients = Array.from({ length: RUNNING }, () => new Client(entry.entry));
    const first = await Promise.all(
      clients.map((client) => client.send({ method: 'POST', path: '/beta/quick', body: 'x' })),
    );
    const kept = first.filter(({ status }) => status === 200).length;
    record.say(`${kept} of ${RUNNING} connections are kept: their first request got 200`);
    if (kept !== RUNNING) return 2;
    const other = new Client(entry.entry);
    let answered = 0;
    for (let read = 0; read < SOUND; read += 1) {
      if ((await other.send({ path: '/alpha/sound' })).status === 200) answered += 1;
    }
    record.say(`target i-a1 answers ${answered} of ${SOUND} requests soundly`);
    const slow = clients.map((client) =>
      client.send({ method: 'POST', path: '/beta/slow', body: 'x' }),
    );
    await delay(400);
    const asked = other.send({ path: '/alpha/spoil' });
    const results = await Promise.all(slow);
    const answer = await asked;
    record.say(
      `the request to i-a1 ends: ${answer.type} ${answer.status ?? ''} ${answer.detail ?? ''}`,
    );
    await delay(1_500);
    const ran = new Set(sound.runs.map(({ attemptId }) => attemptId));
    for (const { attemptId, reused, type, status, detail } of results) {
      record.note(
        `${attemptId} on a kept connection (reused: ${reused}): ` +
          `run by i-b1: ${ran.has(attemptId)}, the client sees: ${type} ${status ?? detail}`,
      );
    }
    const lost = results.filter(
      ({ attemptId, reused, type }) => reused && type === 'cut' && ran.has(attemptId),
    ).length;
    const ended = entry.ends.filter(({ asked: wasAsked }) => !wasAsked).length;
    record.say(`spoiled answers: ${spoiled}; ends of the entry's process by itself: ${ended}`);
    record.say(
      `requests from kept connections, run by the sound target i-b1, whose connection was closed ` +
        `without an answer: ${lost} (the rule allows ${ALLOWED})`,
    );
    record.say(lost > ALLOWED ? 'LOST is broken' : 'LOST holds');
    return lost > ALLOWED ? 1 : 0;
  } finally {
    await deployment.stop();
  }
});
