/** Polls the health endpoint of each fronted target, one of several signs of leaving. */
import { request as httpRequest } from 'node:http';
import got, { type RequestFunction } from 'got';
import { AnswerIntake } from '../http/answer-intake.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import type { HealthState } from './leaving-signs.js';

const POLL_INTERVAL_MS = 1_000;
const POLL_TIMEOUT_MS = 900;
/** All bytes of an answer, its head included. */
const MAX_ANSWER_BYTES = 64 * 1024;

/** A target with the address to poll. */
export interface PolledTarget {
  readonly target: string;
  readonly address: string;
}

/** Queries the state of one target; never rejects. */
export type HealthProbe = (address: string) => Promise<HealthState>;

const answers = new AnswerIntake({
  limits: { maxBodyBytes: MAX_ANSWER_BYTES, maxOverheadBytes: MAX_ANSWER_BYTES },
  openBuffers: () => ({ cover: () => true, release: () => {} }),
  onLimit: () => {},
});

/** Sends the request, and destroys it once its answer has more bytes than any state needs. */
const requestWithinBounds: RequestFunction = (url, options, callback) => {
  const request = httpRequest(url, options, callback);
  const answer = answers.open(request, (detail) => request.destroy(new Error(detail)));
  request.on('close', () => {
    answer.close();
  });
  return request;
};

/** Queries the state over HTTP. */
export const httpHealthProbe: HealthProbe = async (address) => {
  try {
    const answer = await got(`http://${address}/health`, {
      retry: { limit: 0 },
      timeout: { request: POLL_TIMEOUT_MS },
      throwHttpErrors: false,
      followRedirect: false,
      request: requestWithinBounds,
    });
    return parseHealth(answer.body);
  } catch {
    return 'unreachable';
  }
};

/** Reads `{"state": ...}`; a back end without the endpoint counts as serving. */
export function parseHealth(body: string): HealthState {
  try {
    const value = JSON.parse(body) as { state?: unknown } | null;
    return value?.state === 'starting' || value?.state === 'draining' ? value.state : 'serving';
  } catch {
    return 'serving';
  }
}

/** Polls all targets once a second. */
export class HealthPoller {
  private cancelTimer: CancelTimer = () => {};
  private readonly polling = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly probe: HealthProbe,
    private readonly listTargets: () => readonly PolledTarget[],
    private readonly report: (target: string, state: HealthState) => void,
  ) {}

  start(): void {
    this.cancelTimer = this.clock.schedule(POLL_INTERVAL_MS, () => {
      this.pollAll();
      this.start();
    });
  }

  stop(): void {
    this.cancelTimer();
  }

  private pollAll(): void {
    for (const { target, address } of this.listTargets()) {
      if (!this.polling.has(target)) void this.poll(target, address);
    }
  }

  private async poll(target: string, address: string): Promise<void> {
    this.polling.add(target);
    const state = await this.probe(address);
    this.polling.delete(target);
    this.report(target, state);
  }
}
