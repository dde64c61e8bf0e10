/** Plug-ins and their registry. A plug-in's module registers itself when it is imported. */
import type { Container } from 'inversify';

/**
 * A part of a node. `bind` runs for all plug-ins before the first `start`; starts run in
 * order of `order`, drains and stops in the opposite order.
 */
export interface Plugin {
  readonly name: string;
  /** Position in the start sequence; see {@link StartOrder}. */
  readonly order: number;
  /** Binds the plug-in's services to their tokens. Does no I/O. */
  bind(container: Container): void;
  /** Opens sockets and starts tasks. Rejects when the node cannot run. */
  start?(container: Container): Promise<void>;
  /**
   * First part of a planned stop: accepts no new work and lets running work end.
   *
   * @param endAt monotonic time in milliseconds at which the stop continues without waiting further
   */
  drain?(container: Container, endAt: number): Promise<void>;
  /** Closes everything that `start` opened. */
  stop?(container: Container): Promise<void>;
}

/** Positions in the start sequence, with gaps for further plug-ins. */
export enum StartOrder {
  Observability = 10,
  Peer = 20,
  Membership = 30,
  Platform = 40,
  Configuration = 50,
  Claims = 60,
  Target = 70,
  Entry = 80,
  Admin = 90,
}

/** Programs that are composed of plug-ins. */
export type Program = 'node' | 'sidecar';

const registered = new Map<string, Plugin>();

/** Registers a plug-in of a program; throws when its name is already registered. */
export function registerPlugin(plugin: Plugin, program: Program = 'node'): void {
  const key = `${program}/${plugin.name}`;
  if (registered.has(key)) throw new Error(`plug-in ${key} is registered twice`);
  registered.set(key, plugin);
}

/** All registered plug-ins of a program in start order. */
export function listPlugins(program: Program = 'node'): readonly Plugin[] {
  return [...registered]
    .filter(([key]) => key.startsWith(`${program}/`))
    .map(([, plugin]) => plugin)
    .sort((a, b) => a.order - b.order);
}
