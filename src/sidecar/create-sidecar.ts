/** Creates a sidecar from its settings and the platform's adapter. */
import './plugins/plugins.js';
import { BoundedEventLog } from '../kernel/bounded-event-log.js';
import { systemClock, type Clock } from '../kernel/clock.js';
import { createPinoEventLog, LogStream, type EventLog } from '../kernel/event.js';
import { Kernel } from '../kernel/kernel.js';
import { listPlugins, type Plugin } from '../kernel/plugin.js';
import { CurrentSettings, type SettingsSource } from './current-settings.js';
import type { PlatformAdapter } from './platform-adapter.js';
import { SidecarOrder, SidecarToken } from './plugins/tokens.js';
import type { SidecarSettings } from './settings.js';

export interface SidecarOptions {
  /** Source of changed settings; absent: settings never change. */
  readonly source?: SettingsSource;
  readonly clock?: Clock;
  readonly log?: EventLog;
}

/** Creates a sidecar; it is not started yet. */
export function createSidecar(
  settings: SidecarSettings,
  adapter: PlatformAdapter,
  options: SidecarOptions = {},
): Kernel {
  const clock = options.clock ?? systemClock;
  const log = options.log ?? createLog(settings, clock);
  const current = new CurrentSettings(settings, options.source, clock, log);
  const bind = (container: Parameters<Plugin['bind']>[0]): void => {
    container.bind(SidecarToken.Settings).toConstantValue(settings);
    container.bind(SidecarToken.CurrentSettings).toConstantValue(current);
    container.bind(SidecarToken.Adapter).toConstantValue(adapter);
  };
  const settingsPlugin: Plugin = {
    name: 'settings',
    order: SidecarOrder.Settings,
    bind,
    start: () => current.start(),
    stop: () => {
      current.close();
      return Promise.resolve();
    },
  };
  return new Kernel({
    clock,
    log,
    bindTimeoutMs: settings.listen.bindTimeout,
    plugins: [settingsPlugin, ...listPlugins('sidecar')],
  });
}

function createLog({ node, log }: SidecarSettings, clock: Clock): EventLog {
  const bindings = { node: node.id, zone: node.zone };
  const lines = createPinoEventLog(log.level, bindings, LogStream.Output);
  return new BoundedEventLog(lines, clock, log.maxLinesPerSecond);
}
