/** Plug-in of the target side: the fronted targets and the calls of other nodes to them. */
import type { Container } from 'inversify';
import { Result } from 'true-myth';
import { ByteBudget } from '../core/byte-budget.js';
import { findOverloadPolicy } from '../core/overload-policy-registry.js';
import type { OverloadPolicy } from '../core/overload.js';
import { StartOrder, registerPlugin } from '../kernel/plugin.js';
import { Token } from '../kernel/token.js';
import { decodeAttempt, encodeResult, validateAttemptMessage } from './attempt-codec.js';
import { reserveForCall, returnFromCall } from './attempt-reservation.js';
import { validateReserveMessage, validateReturnMessage } from './attempt-ledger-codec.js';
import { CoalescedCall } from './coalesced-call.js';
import { HealthPoller, httpHealthProbe } from './health-poller.js';
import { LocalTargetDispatcher } from './local-target-dispatcher.js';
import { createNodeBackendClient } from './node-backend-client.js';
import { TargetPlacement } from './target-placement.js';

const IDLE_CHECK_INTERVAL_MS = 20;
/** Shortest time between two readings of members and rules, which take a while in a large fleet. */
export const REFRESH_INTERVAL_MS = 50;

/** State of one node's plug-in, kept per container so that nodes can share a process. */
class TargetSide {
  private readonly poller: HealthPoller;
  private readonly placement: TargetPlacement;
  private readonly refreshCall: CoalescedCall;
  private unsubscribe: (() => void)[] = [];

  constructor(
    private readonly container: Container,
    private readonly dispatcher: LocalTargetDispatcher,
  ) {
    this.placement = new TargetPlacement(
      container.get(Token.Membership),
      container.get(Token.ConfigStore),
    );
    this.refreshCall = new CoalescedCall(container.get(Token.Clock), REFRESH_INTERVAL_MS, () => {
      this.refresh();
    });
    this.poller = new HealthPoller(
      container.get(Token.Clock),
      httpHealthProbe,
      () => dispatcher.list(),
      (target, state) => {
        dispatcher.noteHealth(target, state);
      },
    );
  }

  start(): void {
    this.handlePeerCalls();
    const refresh = (): void => {
      this.refreshCall.request();
    };
    this.unsubscribe = [
      this.container.get(Token.Membership).subscribe(refresh),
      this.container.get(Token.ConfigStore).subscribe(refresh),
    ];
    this.refresh();
    this.poller.start();
  }

  /** Waits until no attempt waits or runs here, but no longer than a planned stop may take. */
  async drain(): Promise<void> {
    const clock = this.container.get(Token.Clock);
    const end = clock.now() + this.container.get(Token.Settings).stopTimeoutMs;
    while (this.dispatcher.inProgress > 0 && clock.now() < end) {
      await new Promise<void>((resolve) => clock.schedule(IDLE_CHECK_INTERVAL_MS, resolve));
    }
  }

  stop(): void {
    for (const unsubscribe of this.unsubscribe) unsubscribe();
    this.refreshCall.cancel();
    this.poller.stop();
    this.dispatcher.close();
  }

  private refresh(): void {
    this.placement.refresh();
    const { id } = this.container.get(Token.Settings).node;
    this.dispatcher.setPlaced(this.placement.placedAt(id));
    const members = this.container.get(Token.Membership).members();
    this.dispatcher.noteReportedLeaving(members.flatMap((member) => member.leavingTargets));
  }

  private handlePeerCalls(): void {
    const peers = this.container.get(Token.PeerNetwork);
    const clock = this.container.get(Token.Clock);
    const config = this.container.get(Token.ConfigStore);
    peers.handle('attempt', validateAttemptMessage, async (_from, message, signal) => {
      const attempt = decodeAttempt(message, clock.now());
      return Result.ok(encodeResult(await this.dispatcher.dispatch(attempt, signal)));
    });
    peers.handle('reserveAttempts', validateReserveMessage, (_from, message) => {
      const reply = reserveForCall(this.dispatcher, config, message, clock.now());
      return Promise.resolve(Result.ok(reply));
    });
    peers.handle('returnAttempts', validateReturnMessage, (_from, message) => {
      returnFromCall(this.dispatcher, message);
      return Promise.resolve(Result.ok({ taken: true }));
    });
  }
}

const sides = new WeakMap<Container, TargetSide>();

function createDispatcher(container: Container): LocalTargetDispatcher {
  const clock = container.get(Token.Clock);
  const leavingTargets = container.get(Token.LeavingTargets);
  return new LocalTargetDispatcher({
    settings: container.get(Token.Settings),
    config: container.get(Token.ConfigStore),
    policy: requirePolicy(container.get(Token.Settings).overload.policy),
    buffers: container.get(Token.ByteBudget),
    createClient: (options) => createNodeBackendClient(options, clock),
    clock,
    loopDelay: container.get(Token.EventLoopDelay),
    log: container.get(Token.EventLog),
    metrics: container.get(Token.Metrics),
    onLeavingChanged: (targets) => {
      leavingTargets.set('target-side', targets);
    },
  });
}

/** Finds the policy that the settings name. Throws for an unknown name: the node must not start. */
export function requirePolicy(name: string): OverloadPolicy {
  const policy = findOverloadPolicy(name);
  if (policy === undefined) throw new Error(`no overload policy is named ${name}`);
  return policy;
}

registerPlugin({
  name: 'target',
  order: StartOrder.Target,
  bind(container) {
    container
      .bind(Token.ByteBudget)
      .toDynamicValue(() => new ByteBudget(container.get(Token.Settings).limits.maxBufferedBytes));
    container.bind(Token.TargetDispatcher).toDynamicValue(() => createDispatcher(container));
    container
      .bind(Token.TargetAdministration)
      .toDynamicValue(() => container.get(Token.TargetDispatcher) as LocalTargetDispatcher);
  },
  start(container) {
    const dispatcher = container.get(Token.TargetDispatcher) as LocalTargetDispatcher;
    const side = new TargetSide(container, dispatcher);
    sides.set(container, side);
    side.start();
    return Promise.resolve();
  },
  async drain(container) {
    await sides.get(container)?.drain();
  },
  stop(container) {
    sides.get(container)?.stop();
    return Promise.resolve();
  },
});
