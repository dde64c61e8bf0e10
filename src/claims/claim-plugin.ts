/** Claims plug-in: binds `Token.ClaimService` and runs this node's claim replicas. */
import type { Container } from 'inversify';
import { registerPlugin, StartOrder } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';
import { ClaimTask, createIncarnation } from './claim-task.js';
import { DEFAULT_PAGE_BYTES } from './table-pages.js';

/** One task per container; nodes may share a process. */
const tasks = new WeakMap<Container, ClaimTask>();

function createTask(container: Container): ClaimTask {
  const settings = container.get(Token.Settings);
  const clock = container.get(Token.Clock);
  const task = new ClaimTask({
    nodeId: settings.node.id,
    incarnation: createIncarnation(clock.wallNow(), Math.random()),
    clock,
    log: container.get(Token.EventLog),
    network: container.get(Token.PeerNetwork),
    membership: container.get(Token.Membership),
    platform: container.get(Token.PlatformClient),
    metrics: container.get(Token.Metrics),
    pageBytes: Math.min(DEFAULT_PAGE_BYTES, Math.floor(settings.limits.maxFrameBytes / 4)),
    wantedGroups: settings.claims.groups,
    mailboxCapacity: settings.limits.maxMailboxLength,
  });
  tasks.set(container, task);
  return task;
}

registerPlugin({
  name: 'claims',
  order: StartOrder.Claims,
  bind: (container) => {
    container
      .bind(Token.ClaimService)
      .toDynamicValue(() => createTask(container))
      .inSingletonScope();
  },
  start: (container) => {
    container.get(Token.ClaimService);
    tasks.get(container)?.start();
    return Promise.resolve();
  },
  drain: async (container) => {
    await tasks.get(container)?.drain();
  },
  stop: (container) => {
    tasks.get(container)?.stop();
    tasks.delete(container);
    return Promise.resolve();
  },
});
