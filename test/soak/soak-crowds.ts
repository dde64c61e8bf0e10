/**
 * Crowds of clients beyond the limits, in soak runs. Each is a process of its own: what it sends would
 * delay the callers, relays and targets of the process that drives the run.
 */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST } from '../../platform/stand-ins/rules-document.js';
import { chunkedBody, Crowd, sentAhead } from '../support/crowd.js';
import type { ProcessMachine } from '../support/process-mesh.js';

const CLIENTS = 40;
const HEAD_END = '\r\n';
const POST = `POST /read/crowd HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: crowd\r\n`;
const NO_FIELDS = `GET / HTTP/1.1\r\n${HEAD_END}`;
const READINESS = `GET /v1/readiness HTTP/1.1\r\nHost: a\r\n${HEAD_END}`;

/** What a crowd sends, and to which port of a machine. */
interface CrowdKind {
  readonly portOf: (machine: ProcessMachine) => string;
  readonly bytes: Buffer;
}

const KINDS: readonly CrowdKind[] = [
  { portOf: ({ entry }) => entry, bytes: chunkedBody(POST, 1, 100_000) },
  { portOf: ({ entry }) => entry, bytes: chunkedBody(POST, 65_536, 15) },
  { portOf: ({ entry }) => entry, bytes: sentAhead(NO_FIELDS, 10_000) },
  { portOf: ({ readiness }) => readiness, bytes: sentAhead(READINESS, 10_000) },
];

/** Sends a crowd to a machine, which stays connected for a time. */
export async function sendCrowd(
  machine: ProcessMachine,
  kind: number,
  forMs: number,
): Promise<void> {
  const { portOf } = KINDS[kind % KINDS.length]!;
  const args = [portOf(machine), String(kind), String(forMs)];
  const child = fork(fileURLToPath(import.meta.url), args, { stdio: 'ignore' });
  await new Promise((resolve) => child.once('exit', resolve));
}

async function play([address = '', kind = '0', forMs = '0']: readonly string[]): Promise<void> {
  const { bytes } = KINDS[Number(kind) % KINDS.length]!;
  const crowd = await Crowd.send({ address, clients: CLIENTS, bytes });
  await sleep(Number(forMs));
  crowd.leave();
  process.exit();
}

const isChild = process.argv[1] === fileURLToPath(import.meta.url);
if (isChild) {
  // The crowd ends with the process that drives the run.
  process.once('disconnect', () => process.exit());
  void play(process.argv.slice(2));
}
