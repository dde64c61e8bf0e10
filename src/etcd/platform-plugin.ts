/** Plug-in: the client of the platform and the poller of its list of machines. */
import { combineHashes, hash32 } from '../core/hash.js';
import { createRandom } from '../core/random.js';
import { registerPlugin, StartOrder } from '../kernel/plugin.js';
import { createToken, Token } from '../kernel/token.js';
import { LeavingTargets } from '../membership/leaving-targets.js';
import { EtcdPlatformClient } from './etcd-platform-client.js';
import { MachineListPoller } from './machine-list-poller.js';

const POLLER = createToken<MachineListPoller>('MachineListPoller');

registerPlugin({
  name: 'platform',
  order: StartOrder.Platform,
  bind(container) {
    container.bind(Token.PlatformClient).toDynamicValue((context) => {
      const { platform, node } = context.get(Token.Settings);
      const clock = context.get(Token.Clock);
      return new EtcdPlatformClient({
        endpoints: platform.keyValue,
        machinesUrl: platform.machines,
        timeoutMs: platform.timeoutMs,
        clock,
        log: context.get(Token.EventLog),
        seed: combineHashes(hash32(node.id), clock.wallNow()),
      });
    });
    container
      .bind(Token.LeavingTargets)
      .toDynamicValue((context) => new LeavingTargets(context.get(Token.Membership)));
    container.bind(POLLER).toDynamicValue((context) => {
      const { id } = context.get(Token.Settings).node;
      const clock = context.get(Token.Clock);
      return new MachineListPoller({
        platform: context.get(Token.PlatformClient),
        membership: context.get(Token.Membership),
        leavingTargets: context.get(Token.LeavingTargets),
        clock,
        log: context.get(Token.EventLog),
        random: createRandom(combineHashes(hash32(`${id} machines`), clock.wallNow())),
      });
    });
  },
  start(container) {
    container.get(POLLER).start();
    return Promise.resolve();
  },
  stop(container) {
    container.get(POLLER).stop();
    return Promise.resolve();
  },
});
