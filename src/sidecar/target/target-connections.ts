/**
 * Kept connections to the target. Answers are told apart by the identity of their attempt, which stays the same
 * when an attempt is sent again after a refusal. So a connection carries each attempt at most once: a second
 * answer to the first sending could pass for the answer to the second.
 */
import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../../kernel/clock.js';
import { RecentKeys } from './recent-keys.js';

/** Idle connections are closed after this time, well before targets usually close them. */
const IDLE_SOCKET_TIMEOUT_MS = 4_000;
/** Least time for which a connection remembers its attempts, in milliseconds. */
const MIN_ATTEMPT_MEMORY_MS = 10_000;

/** State of one connection. */
interface Connection {
  readonly attempts: RecentKeys;
  /** Whether an exchange uses it; any bytes that arrive otherwise belong to no request. */
  isBusy: boolean;
}

/** The connections to one incarnation of the target. */
export class TargetConnections {
  /** First in, first out: a refused attempt is sent again over another idle connection if there is one. */
  readonly agent = new Agent({
    keepAlive: true,
    scheduling: 'fifo',
    maxFreeSockets: Infinity,
    timeout: IDLE_SOCKET_TIMEOUT_MS,
  });
  private readonly connections = new WeakMap<Socket, Connection>();
  /** No attempt is sent again later than this, in milliseconds: its time would be over. */
  private attemptMemoryMs = MIN_ATTEMPT_MEMORY_MS;

  constructor(private readonly clock: Clock) {
    this.agent.on('free', (socket: Socket) => {
      const connection = this.connections.get(socket);
      if (connection !== undefined) connection.isBusy = false;
    });
  }

  /** Closes the idle connections that the agent would use next and that have carried the attempt. */
  prepare(attemptId: string): void {
    const now = this.clock.now();
    for (const socket of this.idle()) {
      if (this.connections.get(socket)?.attempts.has(now, attemptId) !== true) return;
      socket.destroy();
    }
  }

  /**
   * Records that an exchange uses a connection for an attempt.
   *
   * @param timeoutMs time that the attempt has left, in milliseconds
   */
  assign(socket: Socket, attemptId: string, timeoutMs: number): void {
    this.attemptMemoryMs = Math.max(this.attemptMemoryMs, timeoutMs);
    const connection = this.connections.get(socket) ?? this.watch(socket);
    connection.isBusy = true;
    connection.attempts.add(this.clock.now(), attemptId);
  }

  /** Closes idle connections; busy ones are kept and may be used again. */
  closeIdle(): void {
    for (const socket of this.idle()) socket.destroy();
  }

  /**
   * Closes idle connections; running exchanges go on, and their connections close afterwards. The
   * agent's own `destroy` would abort those exchanges too.
   */
  close(): void {
    this.agent.maxFreeSockets = 0;
    this.closeIdle();
  }

  private idle(): readonly Socket[] {
    const idle = Object.values(this.agent.freeSockets).flatMap((sockets) => sockets ?? []);
    return idle.filter(({ destroyed }) => !destroyed);
  }

  private watch(socket: Socket): Connection {
    const connection = { attempts: new RecentKeys(() => this.attemptMemoryMs), isBusy: true };
    this.connections.set(socket, connection);
    // Otherwise the rest of what arrives could be read as the answer to the next request.
    socket.on('data', () => {
      if (!connection.isBusy) socket.destroy();
    });
    return connection;
  }
}
