/**
 * Machines are stopped and started in turn, and the store loses the answer of a write that it does some
 * seconds later. Do tenants stay within their limits?
 */
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

/** Bounds of the site (SYSTEM.md's and the pages' `timingBounds`). */
const WINDOW_MS = 5_000;
const OVERSHOOT = 0.1;
const SLACK = 20;
/** Limit of each tenant. */
const RATE = 20;
const BURST = 10;
const ALLOWED = ((RATE * WINDOW_MS) / 1_000 + BURST) * (1 + OVERSHOOT) + SLACK;
const TENANTS = ['granite', 'copper', 'harbour', 'willow'];
/** Requests a second that a tenant sends as a rule, and as a hot tenant, over all machines. */
const USUAL = 12;
const HOT = 60;
const HOT_MS = 6_500;
/** Answers of writes are lost for this long: the first, then as many as stay within this share of the writes. */
const LOSS_MS = 4_500;
const LOSS_SHARE = 0.35;
/** Those writes are done this much later. */
const LATE_MS = 4_500;
/** Time from the SIGTERM until answers begin to be lost. */
const LOSS_AFTER_MS = 2_000;
const RESTART_MS = 500;
const KEY_PREFIX = 'sillshore/quota/';

/** The store, which may lose the answers of some writes and do those late, if their condition still holds. */
class LateStore extends StoreStandIn {
  lossEnd = -Infinity;
  writes = 0;
  lost = 0;

  constructor(record) {
    super();
    this.record = record;
  }

  serveTransaction(body, response) {
    this.write(`write of ${describe(body)}`, response, (to) => super.serveTransaction(body, to));
  }

  serveLease(body, response) {
    this.write('grant of a lease', response, (to) => super.serveLease(body, to));
  }

  write(text, response, apply) {
    // The base class uses this name for its own entries.
    if (typeof apply !== 'function') {
      super.write(text, response, apply);
      return;
    }
    if (now() >= this.lossEnd) {
      apply(response);
      return;
    }
    this.writes += 1;
    if (this.writes > 1 && this.lost + 1 > LOSS_SHARE * this.writes) {
      this.record.note(`store: ${text}, answered`);
      apply(response);
      return;
    }
    this.lost += 1;
    this.record.say(`store: ${text}: no answer, done ${LATE_MS} ms later`);
    setTimeout(() => {
      let status = 0;
      const nobody = {
        writeHead: (code) => {
          status = code;
          return nobody;
        },
        end: () => this.record.say(`store: the late ${text} ends with ${status}`),
      };
      apply(nobody);
    }, LATE_MS);
  }
}

function describe({ put }) {
  return put
    .map(({ privateKey, value, lease }) => {
      const text = Buffer.from(value, 'base64').toString();
      const shown = privateKey.startsWith(KEY_PREFIX) ? `"${text}"` : `${text.length} bytes`;
      return `${privateKey} = ${shown}${lease === undefined ? ', no lease' : ''}`;
    })
    .join(', ');
}

/** Most runs of a tenant in a window, and when that window begins. */
function worstWindow(times) {
  let [worst, from, first] = [0, 0, 0];
  for (let last = 0; last < times.length; last += 1) {
    while (times[last] - times[first] > WINDOW_MS) first += 1;
    if (last - first + 1 <= worst) continue;
    worst = last - first + 1;
    from = times[first];
  }
  return { worst, from };
}

function perSecond(times, from) {
  const counts = Array.from({ length: HOT_MS / 1_000 }, () => 0);
  for (const time of times) {
    const second = Math.floor((time - from) / 1_000);
    if (second >= 0 && second < counts.length) counts[second] += 1;
  }
  return counts.join(', ');
}

await runCase(join(import.meta.dirname, 'record.txt'), async (record) => {
  const store = new LateStore(record);
  const deployment = new Deployment(store, {
    bounds: {
      quotaWindow: `${WINDOW_MS}ms`,
      quotaOvershoot: OVERSHOOT,
      quotaSlack: SLACK,
      keyRevocation: '5000ms',
      refuseUncheckedKeys: true,
    },
  });
  const names = ['sidecar-boa-viagem-1', 'sidecar-santo-amaro-1', 'sidecar-casa-forte-1'];
  const targets = names.map(
    (_, index) => new Target({ id: `i-a${index + 1}`, service: 'alpha', slots: 80, workMs: 20 }),
  );
  let over = false;
  try {
    const tenants = Object.fromEntries(
      TENANTS.map((name) => [
        name,
        { apiKeys: [`key-of-${name}`], ratePerS: RATE, burst: BURST, priority: 1 },
      ]),
    );
    const routes = { a: { pathPrefix: '/alpha/', service: 'alpha' } };
    await deployment.start(createConfig(1, routes, { tenants }));
    for (const [index, target] of targets.entries()) {
      await deployment.add(target, { name: names[index] });
    }
    const { machines } = deployment;
    for (const machine of machines) {
      if (!(await machine.waitReady())) throw new Error(`${machine.id} isn't ready`);
      machine.onExit = (code, signal) => {
        if (over) return;
        record.note(`${machine.id} ends: code ${code}, signal ${signal}`);
        setTimeout(() => machine.start(), RESTART_MS);
      };
    }
    await delay(3_000);

    let isHot = false;
    const outcomes = new Map();
    const count = (what) => outcomes.set(what, (outcomes.get(what) ?? 0) + 1);
    const load = async (machine, tenant) => {
      while (!over) {
        const client = new Client(machine.entry, { keep: false });
        const sent = client.send({
          path: '/alpha/step',
          headers: { 'X-Credential': `key-of-${tenant}` },
          deadlineMs: 2_000,
        });
        count(`${tenant}: sent`);
        void sent.then(({ type, status }) => {
          count(`${tenant}: answered with ${status ?? type}`);
        });
        await delay((machines.length * 1_000) / (isHot ? HOT : USUAL));
      }
    };
    for (const machine of machines) for (const tenant of TENANTS) void load(machine, tenant);
    await delay(3_000);

    const holders = () => store.keys(KEY_PREFIX).map((key) => `${key}: "${store.get(key)}"`);
    record.say(`who counts, as the store says: ${holders().join(', ')}`);
    const heldBy = ({ id }) => store.keys(KEY_PREFIX).filter((key) => store.get(key) === id).length;
    // First the machine that holds most of these keys.
    const order = [...machines].sort((one, other) => heldBy(other) - heldBy(one));
    for (const [index, machine] of order.entries()) {
      record.say(`SIGTERM to ${machine.id}`);
      machine.signal('SIGTERM');
      if (index === 0 && TROUBLE) {
        setTimeout(() => {
          store.lossEnd = now() + LOSS_MS;
        }, LOSS_AFTER_MS);
      }
      await machine.exited;
      await delay(RESTART_MS + 100);
      if (!(await machine.waitReady())) throw new Error(`${machine.id} isn't ready again`);
      record.say(`${machine.id} is back; ${holders().join(', ')}`);
      await delay(index === 0 ? LOSS_MS + 1_500 : 1_500);
    }
    record.say(`answers lost: ${store.lost} of ${store.writes} writes in ${LOSS_MS} ms`);

    record.say(`all tenants send ${HOT} requests a second for ${HOT_MS} ms; the limit is ${RATE}`);
    isHot = true;
    const hotAt = now();
    await delay(HOT_MS);
    isHot = false;
    await delay(500);
    over = true;
    await delay(2_500);
    record.say(`who counts, as the store says: ${holders().join(', ')}`);
    for (const [what, times] of [...outcomes].sort()) record.note(`${what}: ${times}`);
    let isBroken = false;
    for (const tenant of TENANTS) {
      const times = targets
        .flatMap(({ runs }) => runs.filter(({ headers }) => headers['x-tenant'] === tenant))
        .map(({ at }) => at)
        .sort((one, other) => one - other);
      const { worst, from } = worstWindow(times);
      isBroken ||= worst > ALLOWED;
      record.note(
        `${tenant}: runs in each second from the start of the hot phase: ${perSecond(times, hotAt)}`,
      );
      record.say(
        `${tenant}: at most ${worst} runs in ${WINDOW_MS} ms (allowed ${ALLOWED}), ` +
          `${((from - hotAt) / 1_000).toFixed(1)} s after the hot phase began`,
      );
    }
    record.say(isBroken ? 'QUOTA is broken' : 'QUOTA holds');
    return isBroken ? 1 : 0;
  } finally {
    over = true;
    await deployment.stop();
  }
});
