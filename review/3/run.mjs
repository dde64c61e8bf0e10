/** Clients are slow to read large answers; how much does the node hold for them, and who pays for it? */
import { readFileSync } from 'node:fs';
import { Buffer } from 'node:buffer';
import { request as httpRequest } from 'node:http';
import { join } from 'node:path';
import { clearInterval, setInterval } from 'node:timers';
import { StoreStandIn } from '../../out/review/store-stand-in.mjs';
import {
  Client,
  createConfig,
  delay,
  Deployment,
  HOST,
  nextAttemptId,
  now,
  runCase,
  stampOf,
  Target,
  TROUBLE,
} from '../lib/harness.mjs';

/** Memory of a machine's process (`memoryMb`, DEPLOY.md); over it the platform kills the process. */
const MEMORY_MB = 350;
const MEMORY_CHECK_MS = 10;
const RESTART_MS = 500;
/** Clients that download, one after the other. */
const DOWNLOADS = 24;
const DOWNLOAD_BYTES = 16 * 1024 * 1024;
const DOWNLOAD_GAP_MS = 150;
/** Time for which a slow client reads nothing once its answer has begun. */
const SLOW_MS = 5_000;
const DEADLINE_MS = 10_000;
/** Other clients on the same machine, each with one kept connection. */
const OTHERS = 12;
const WORK_MS = 800;
/** The rule allows three. */
const ALLOWED = 3;

const CONTENT = Buffer.alloc(DOWNLOAD_BYTES, 'pack');

function memoryOf(pid) {
  try {
    return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]) / 1024;
  } catch {
    return 0;
  }
}

/** Downloads; a slow client pauses before it reads on. Resolves with what it saw. */
function download(address) {
  const [host, port] = address.split(':');
  return new Promise((done) => {
    let received = 0;
    const request = httpRequest({
      ...{ host, port, path: '/packs/one', agent: false },
      headers: {
        Host: HOST,
        'X-Attempt-Id': nextAttemptId('pack'),
        'X-Deadline-Ms': String(DEADLINE_MS),
      },
    });
    request.on('response', (response) => {
      const read = () => {
        response.on('data', (chunk) => {
          received += chunk.length;
        });
        response.on('end', () => {
          done(response.complete ? `${response.statusCode} whole` : 'cut');
        });
      };
      response.on('error', () => done(`cut after ${received} bytes`));
      if (TROUBLE && response.statusCode === 200) setTimeout(read, SLOW_MS);
      else read();
    });
    request.on('error', (error) => done(`no answer: ${error.code}`));
    request.end();
  });
}

await runCase(join(import.meta.dirname, 'record.txt'), async (record) => {
  const deployment = new Deployment(new StoreStandIn(), { memoryMb: MEMORY_MB });
  const packs = new Target({
    id: 'i-p1',
    service: 'packs',
    behave: (run, response) => {
      response.writeHead(200, {
        'X-Attempt-Id': run.attemptId,
        'X-Server-Stamp': stampOf(run, 'i-p1'),
        'Content-Length': CONTENT.length,
      });
      response.end(CONTENT);
      return true;
    },
  });
  const sound = new Target({ id: 'i-b1', service: 'beta', workMs: WORK_MS });
  const targets = [packs, sound, new Target({ id: 'i-g1', service: 'gamma' })];
  let timer;
  try {
    await deployment.start(
      createConfig(1, {
        p: { pathPrefix: '/packs/', service: 'packs', kind: 'download', timeout: '10000ms' },
        b: { pathPrefix: '/beta/', service: 'beta', kind: 'non_idempotent' },
        c: { pathPrefix: '/gamma/', service: 'gamma' },
      }),
    );
    for (const target of targets) await deployment.add(target);
    const entry = deployment.machines[2];
    for (const machine of deployment.machines) {
      if (!(await machine.waitReady())) throw new Error(`${machine.id} isn't ready`);
    }
    // The platform's part: it ends a process that goes over its memory, and starts it again.
    const peak = new Map();
    let kills = 0;
    timer = setInterval(() => {
      for (const machine of deployment.machines) {
        const { id, child } = machine;
        const memory = memoryOf(child.pid);
        peak.set(id, Math.max(peak.get(id) ?? 0, memory));
        if (memory <= MEMORY_MB || machine.killed === child) continue;
        machine.killed = child;
        kills += 1;
        record.say(`${id} holds ${Math.round(memory)} MiB of ${MEMORY_MB}: it is killed`);
        child.kill('SIGKILL');
        setTimeout(() => machine.start(), RESTART_MS);
      }
    }, MEMORY_CHECK_MS);
    await delay(3_500);

    let stopped = false;
    const results = [];
    const others = Array.from({ length: OTHERS }, async () => {
      const client = new Client(entry.entry);
      while (!stopped) {
        const result = await client.send({ method: 'POST', path: '/beta/log', body: 'a promise' });
        results.push(result);
        if (result.type !== 'answer') await delay(1_000);
      }
    });
    await delay(2 * WORK_MS);
    record.say(
      `${DOWNLOADS} clients download ${DOWNLOAD_BYTES} bytes each, one each ${DOWNLOAD_GAP_MS} ms, ` +
        (TROUBLE ? `and read nothing for ${SLOW_MS} ms` : 'and read at once'),
    );
    const begunAt = now();
    const downloads = [];
    for (let index = 0; index < DOWNLOADS; index += 1) {
      downloads.push(download(entry.entry));
      await delay(DOWNLOAD_GAP_MS);
    }
    const ends = await Promise.all(downloads);
    record.say(`the last download ends after ${Math.round(now() - begunAt)} ms`);
    const tally = new Map();
    for (const end of ends) tally.set(end, (tally.get(end) ?? 0) + 1);
    for (const [end, count] of tally) record.note(`downloads that end with "${end}": ${count}`);
    await delay(1_500);
    stopped = true;
    await Promise.all(others);
    const ran = new Set(sound.runs.map(({ attemptId }) => attemptId));
    for (const { attemptId, reused, type, status, detail } of results) {
      const isRun = ran.has(attemptId);
      record.note(`${attemptId}: reused ${reused}, run ${isRun}: ${type} ${status ?? detail}`);
    }
    const lost = results.filter(
      ({ attemptId, reused, type }) => reused && type === 'cut' && ran.has(attemptId),
    ).length;
    for (const [id, memory] of peak) record.say(`peak memory of ${id}: ${Math.round(memory)} MiB`);
    record.say(`processes killed for their memory: ${kills}`);
    record.say(
      `other requests from kept connections, run by the sound target i-b1, whose connection was ` +
        `closed without an answer: ${lost} (the rule allows ${ALLOWED})`,
    );
    record.say(lost > ALLOWED ? 'LOST is broken' : 'LOST holds');
    return lost > ALLOWED ? 1 : 0;
  } finally {
    clearInterval(timer);
    await deployment.stop();
  }
});
