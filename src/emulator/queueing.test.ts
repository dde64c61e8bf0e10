/**
 * Checks the emulator against queueing theory: the mean wait of an M/M/c queue is known (Erlang C).
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EmulatedBackEnd, type BackEndJob } from './back-end.js';
import type { ServiceKind } from './deployment.js';
import { EventQueue } from './event-queue.js';
import { createStream, sampleExponential } from './sampling.js';

const SERVICE_TIME_MS = 10;
const REQUESTS = 200_000;
const TOLERANCE = 0.05;

const KIND: ServiceKind = {
  name: 'k',
  deadlineMs: 1,
  attempts: 1,
  idempotent: true,
  serviceTimeMs: SERVICE_TIME_MS,
  serviceTimeSigma: 0,
  serviceTimeShape: 'exponential',
};

/** Mean wait in an M/M/c queue, in milliseconds (Erlang C). */
function erlangMeanWait(servers: number, utilisation: number): number {
  const offered = servers * utilisation;
  let term = 1;
  let sum = 1;
  for (let k = 1; k < servers; k += 1) {
    term *= offered / k;
    sum += term;
  }
  const last = ((term * offered) / servers) * (1 / (1 - utilisation));
  const probabilityOfWait = last / (sum + last);
  return (probabilityOfWait * SERVICE_TIME_MS) / (servers * (1 - utilisation));
}

/** Mean time from arrival to answer, less the mean service time. */
function measureMeanWait(servers: number, utilisation: number): number {
  const queue = new EventQueue();
  const backEnd = new EmulatedBackEnd(queue, servers, createStream(11, 'service'));
  const arrivals = createStream(11, 'arrivals');
  const gapMs = SERVICE_TIME_MS / (servers * utilisation);
  let sent = 0;
  let totalMs = 0;
  const arrive = () => {
    sent += 1;
    const arrivedAt = queue.now();
    const job: BackEndJob = {
      kind: KIND,
      startCalls: (done) => {
        done(true);
      },
      cancelCalls: () => {},
      onAnswer: () => {
        totalMs += queue.now() - arrivedAt;
      },
      onRefused: () => {},
      onReset: () => {},
      onSlotReleased: () => {},
    };
    backEnd.accept(job);
    if (sent < REQUESTS) queue.schedule(sampleExponential(arrivals, gapMs), arrive);
  };
  arrive();
  queue.runUntil(Number.MAX_SAFE_INTEGER);
  return totalMs / REQUESTS - SERVICE_TIME_MS;
}

for (const [servers, utilisation] of [
  [1, 0.5],
  [4, 0.8],
  [12, 0.9],
] as const) {
  test(`mean wait of M/M/${servers} at ${utilisation} agrees with Erlang C`, () => {
    const expected = erlangMeanWait(servers, utilisation);
    const measured = measureMeanWait(servers, utilisation);
    const error = Math.abs(measured - expected) / expected;
    assert.ok(error < TOLERANCE, `expected ${expected}, measured ${measured}`);
  });
}
