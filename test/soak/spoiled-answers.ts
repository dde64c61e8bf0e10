/** Spoils answers of targets in a soak run: status lines that are none, and refusals that come twice. */
import type { ServerResponse } from 'node:http';
import { hash32 } from '../../src/core/hash.js';
import { createRandom, type Random } from '../../src/core/random.js';
import { ENDLESS_ANSWERS, sendWithoutEnd } from '../support/endless-bytes.js';

/** Share of the answers that are spoiled, and of the requests that are refused, while a fault lasts. */
const SPOILED_SHARE = 0.15;
const REFUSED_SHARE = 0.3;
/** Start lines in place of `HTTP/1.1 200 OK`. */
const START_LINES = ['000 OK', '099 X', '101 X', '199 X', '600 X', '999 X', '2x0 OK', ''];
const REFUSAL_STATUSES = [503, 429, 421, 400];
const MAX_SURPLUS_DELAY_MS = 150;

/** The spoiled answers of all targets of a run. */
export class SpoiledAnswers {
  private readonly random: Random;
  /** Machines whose targets spoil answers now, and those whose targets refuse twice. */
  readonly spoiling = new Set<string>();
  readonly refusing = new Set<string>();
  /** Machines whose targets answer some requests without end now. */
  readonly flooding = new Set<string>();
  private readonly refused = new Set<string>();

  constructor(seed: number) {
    this.random = createRandom(hash32(`spoiled ${seed}`));
  }

  /** Refuses some requests when they arrive first, and sends the refusal again later. */
  refuse(machine: string, attemptId: string, response: ServerResponse): boolean {
    if (!this.refusing.has(machine) || this.refused.has(attemptId)) return false;
    if (this.random.next() >= REFUSED_SHARE) return false;
    this.refused.add(attemptId);
    const { socket } = response;
    const status = REFUSAL_STATUSES[this.random.nextInt(REFUSAL_STATUSES.length)]!;
    const fields = { 'X-Attempt-Id': attemptId, 'X-Not-Executed': '1', 'Content-Length': '4' };
    response.writeHead(status, fields).end('full');
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
    setTimeout(() => {
      if (socket?.writable === true)
        socket.write(`HTTP/1.1 ${status} X\r\n${lines.join('')}\r\nfull`);
    }, this.random.nextInt(MAX_SURPLUS_DELAY_MS)).unref();
    return true;
  }

  /** Answers some requests without end. */
  flood(machine: string, attemptId: string, { socket }: ServerResponse): boolean {
    if (!this.flooding.has(machine) || this.random.next() >= SPOILED_SHARE) return false;
    if (socket === null) return false;
    const kinds = Object.values(ENDLESS_ANSWERS);
    const createAnswer = kinds[this.random.nextInt(kinds.length)]!;
    sendWithoutEnd(socket, createAnswer(`X-Attempt-Id: ${attemptId}\r\nX-Server-Stamp: s\r\n`));
    return true;
  }

  /** Answers some requests with a start line that is none; everything else of the answer is sound. */
  spoil(machine: string, attemptId: string, { socket }: ServerResponse): boolean {
    if (!this.spoiling.has(machine) || this.random.next() >= SPOILED_SHARE) return false;
    const line = START_LINES[this.random.nextInt(START_LINES.length)]!;
    const body = `answer to ${attemptId}`;
    const fields = `X-Attempt-Id: ${attemptId}\r\nX-Server-Stamp: s\r\n`;
    socket?.write(`HTTP/1.1 ${line}\r\n${fields}Content-Length: ${body.length}\r\n\r\n${body}`);
    return true;
  }
}
