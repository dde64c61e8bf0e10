/** Crowds of clients beyond the limits, in soak runs. */
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

/** Sends a crowd; resolves when the node reads no more from it. */
export function sendCrowd(machine: ProcessMachine, kind: number): Promise<Crowd> {
  const { portOf, bytes } = KINDS[kind % KINDS.length]!;
  return Crowd.send({ address: portOf(machine), clients: CLIENTS, bytes });
}
