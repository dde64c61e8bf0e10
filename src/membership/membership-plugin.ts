/** Membership plug-in: binds `Token.Membership`, the members of the fleet. */
import type { Settings } from '../config/settings.js';
import { combineHashes, hash32 } from '../core/hash.js';
import type { MemberFacts } from '../core/member.js';
import { createRandom } from '../core/random.js';
import type { Metrics } from '../kernel/metrics.js';
import { registerPlugin, StartOrder } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';
import { MembershipTask } from './membership-task.js';
import type { Membership } from './membership.js';

registerPlugin({
  name: 'membership',
  order: StartOrder.Membership,
  bind(container) {
    container.bind(Token.Membership).toDynamicValue((context) => {
      const settings = context.get(Token.Settings);
      const clock = context.get(Token.Clock);
      return new MembershipTask({
        facts: describeNode(settings, clock.wallNow()),
        seeds: settings.peers.seeds,
        sharedKey: settings.peers.sharedKey,
        previousSharedKeys: settings.peers.previousSharedKeys,
        maxMailboxLength: settings.limits.maxMailboxLength,
        network: context.get(Token.PeerNetwork),
        clock,
        log: context.get(Token.EventLog),
        traffic: context.get(Token.TrafficMeter),
        random: createRandom(combineHashes(hash32(settings.node.id), clock.wallNow())),
      });
    });
  },
  async start(container) {
    const membership = container.get(Token.Membership) as MembershipTask;
    if (container.isBound(Token.Metrics)) {
      countMembers(membership, container.get(Token.Metrics));
    }
    await membership.start();
  },
  async drain(container) {
    await container.get(Token.Membership).leave();
  },
  stop(container) {
    (container.get(Token.Membership) as MembershipTask).stop();
    return Promise.resolve();
  },
});

/** This node's facts at start; the start time is the incarnation. */
function describeNode({ node, listen }: Settings, startedAtMs: number): MemberFacts {
  return {
    nodeId: node.id,
    incarnation: Math.floor(startedAtMs),
    sequence: 0,
    zone: node.zone,
    region: node.region,
    peerAddress: listen.peer,
    entryAddress: listen.entry,
    adminAddress: listen.admin,
    fronts: node.fronts,
    leavingTargets: [],
    configVersion: 0,
    ready: false,
  };
}

/** Updates the gauge of members by state at each change of the view. */
function countMembers(membership: Membership, metrics: Metrics): void {
  membership.subscribe(() => {
    const counts: Record<string, number> = { alive: 0, suspect: 0, leaving: 0 };
    for (const { state } of membership.members()) counts[state] = (counts[state] ?? 0) + 1;
    for (const [state, count] of Object.entries(counts)) metrics.members.set({ state }, count);
  });
}
