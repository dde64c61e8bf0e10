/** Creates a node from its settings: a kernel with the registered plug-ins. */
import './plugins.js';
import type { Settings } from '../config/settings.js';
import { BoundedEventLog } from '../kernel/bounded-event-log.js';
import { systemClock, type Clock } from '../kernel/clock.js';
import { createPinoEventLog, type EventLog } from '../kernel/event.js';
import { Kernel } from '../kernel/kernel.js';
import { listPlugins, type Plugin } from '../kernel/plugin.js';

/** Limit of log lines, errors excepted; lines over it are counted in one line. */
const MAX_LINES_PER_SECOND = 200;

/** Replacements for the defaults, such as in tests. */
export interface NodeOptions {
  readonly clock?: Clock;
  readonly log?: EventLog;
  readonly plugins?: readonly Plugin[];
}

/** Creates a node without starting it. */
export function createNode(settings: Settings, options: NodeOptions = {}): Kernel {
  const clock = options.clock ?? systemClock;
  return new Kernel({
    settings,
    clock,
    log: options.log ?? createLog(settings, clock),
    plugins: options.plugins ?? listPlugins(),
  });
}

/** Creates and starts a node; rejects when a plug-in cannot start. */
export async function startNode(settings: Settings, options: NodeOptions = {}): Promise<Kernel> {
  const kernel = createNode(settings, options);
  await kernel.start();
  return kernel;
}

function createLog({ node, log }: Settings, clock: Clock): EventLog {
  const lines = createPinoEventLog(log.level, { node: node.id, zone: node.zone });
  return new BoundedEventLog(lines, clock, MAX_LINES_PER_SECOND);
}
