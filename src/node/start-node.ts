/** Makes a node from its settings: a kernel with the registered plug-ins, started. */
import './plugins.js';
import type { Settings } from '../config/settings.js';
import { systemClock, type Clock } from '../kernel/clock.js';
import { createPinoEventLog, type EventLog } from '../kernel/event.js';
import { Kernel } from '../kernel/kernel.js';
import { listPlugins, type Plugin } from '../kernel/plugin.js';

/** What a caller may put in place of the defaults. */
export interface NodeOptions {
  readonly clock?: Clock;
  readonly log?: EventLog;
  readonly plugins?: readonly Plugin[];
}

/** Creates a node that has not started. */
export function createNode(settings: Settings, options: NodeOptions = {}): Kernel {
  const { id, zone } = settings.node;
  return new Kernel({
    settings,
    clock: options.clock ?? systemClock,
    log: options.log ?? createPinoEventLog(settings.log.level, { node: id, zone }),
    plugins: options.plugins ?? listPlugins(),
  });
}

/** Creates and starts a node; rejects when a plug-in cannot start. */
export async function startNode(settings: Settings, options: NodeOptions = {}): Promise<Kernel> {
  const kernel = createNode(settings, options);
  await kernel.start();
  return kernel;
}
