/**
 * Request heads that have not arrived whole. Each of their header fields costs memory, so that many
 * clients that begin long heads and never end them would exhaust it long before their time is over.
 */
import { chooseLargest } from './connection-choice.js';
import { weighRequest } from './request-allowance.js';

/** Units of the begun heads of a listener, by connection; see {@link weighRequest}. */
export class BegunHeads<T> {
  private readonly units = new Map<T, number>();
  private total = 0;

  constructor(private readonly maxUnits: number) {}

  /** Units of the head that has begun on a connection. */
  of(connection: T): number {
    return this.units.get(connection) ?? 0;
  }

  /**
   * Notes how many entries (names and values) of a head have arrived; none when it is whole.
   *
   * @returns the connection with the longest head when all hold too much; it is to be closed
   */
  note(connection: T, rawFieldEntries: number): T | undefined {
    this.delete(connection);
    if (rawFieldEntries === 0) return undefined;
    const units = weighRequest(rawFieldEntries);
    this.units.set(connection, units);
    this.total += units;
    if (this.total <= this.maxUnits) return undefined;
    return chooseLargest(this.units.keys(), (candidate) => this.of(candidate));
  }

  /** The connection has ended. */
  delete(connection: T): void {
    this.total -= this.of(connection);
    this.units.delete(connection);
  }
}
