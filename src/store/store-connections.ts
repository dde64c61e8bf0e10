/**
 * HTTP connections to the store. An open connection can go silent for good, without a reset, while new ones
 * work. On a wait for changes this looks like a wait without changes. So a call without an answer on a reused
 * connection makes all older connections suspect: idle ones are closed, and waits on them are interrupted as
 * soon as a new connection shows that the store answers.
 */
import { Agent, request as httpRequest } from 'node:http';
import { splitAddress } from '../core/host-and-port.js';
import type { AnswerIntake } from '../http/answer-intake.js';
import type {
  StoreConnectionKind,
  StoreExchange,
  StoreRequest,
  StoreTransport,
} from './metadata-store.js';

/** Called when a request has got no answer. */
export type OnUnansweredRequest = (connection: StoreConnectionKind) => void;

/** A wait for changes in progress. */
interface Wait {
  readonly begunAt: number;
  readonly interrupt: () => void;
}

/** Kept connections, used again last in, first out, and connections for single requests. */
export class StoreConnections implements StoreTransport {
  private readonly agent = new Agent({ keepAlive: true, scheduling: 'lifo' });
  private readonly waits = new Set<Wait>();
  /** Time until which connections are suspect; undefined: none is. */
  private suspectUntil: number | undefined;

  /**
   * @param address IP address and port
   * @param answers receives the answers
   * @param onUnanswered called for each request without an answer
   */
  constructor(
    private readonly address: string,
    private readonly answers: AnswerIntake,
    private readonly onUnanswered: OnUnansweredRequest = () => {},
  ) {}

  send(options: StoreRequest): Promise<StoreExchange> {
    const { method, path, headers, body, timeoutMs } = options;
    const begunAt = performance.now();
    return new Promise((resolve) => {
      const request = httpRequest({
        ...splitAddress(this.address),
        agent: options.onNewConnection === true ? false : this.agent,
        method,
        path,
        headers,
      });
      let ended = false;
      const answer = this.answers.open(request, (detail) => {
        fail(detail);
      });
      const end = (exchange: StoreExchange): void => {
        ended = true;
        answer.close();
        clearTimeout(timer);
        this.waits.delete(wait);
        resolve(exchange);
      };
      const fail = (detail: string): void => {
        if (ended) return;
        const connection = request.reusedSocket ? 'reused' : 'new';
        const waitedMs = Math.round(performance.now() - begunAt);
        end({ type: 'failure', detail, waitedMs, connection });
        request.destroy();
        this.onUnanswered(connection);
      };
      const timer = setTimeout(() => {
        if (request.reusedSocket) this.suspectConnections();
        fail('no answer in time');
      }, timeoutMs);
      const wait: Wait = {
        begunAt,
        interrupt: () => {
          end({ type: 'interrupted' });
          request.destroy();
        },
      };
      if (options.isWait === true) this.waits.add(wait);
      request.on('error', (error) => {
        fail(error.message);
      });
      request.on('response', (response) => {
        answer.read(response);
        response.on('error', (error) => {
          fail(error.message);
        });
        response.on('end', () => {
          if (ended) return;
          const { statusCode: status = 0, headers: fields } = response;
          end({ type: 'answer', status, headers: fields, body: answer.take() });
          if (!request.reusedSocket) this.onNewConnectionAnswered(begunAt);
        });
      });
      request.end(body);
    });
  }

  replaceAll(): void {
    this.suspectUntil = undefined;
    this.closeIdle();
    for (const { interrupt } of [...this.waits]) interrupt();
  }

  close(): void {
    this.agent.destroy();
  }

  private suspectConnections(): void {
    this.suspectUntil = performance.now();
    this.closeIdle();
  }

  /** The store answers, so what got no answer on older connections was lost with them. */
  private onNewConnectionAnswered(begunAt: number): void {
    const { suspectUntil } = this;
    if (suspectUntil === undefined || begunAt < suspectUntil) return;
    this.suspectUntil = undefined;
    for (const wait of [...this.waits]) if (wait.begunAt < suspectUntil) wait.interrupt();
  }

  private closeIdle(): void {
    for (const sockets of Object.values(this.agent.freeSockets)) {
      for (const socket of [...(sockets ?? [])]) socket.destroy();
    }
  }
}
