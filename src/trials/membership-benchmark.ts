/** Measures the membership protocol in virtual time, with the real codec. */
import { SimulatedFleet } from './simulated-fleet.js';
import { formatTable } from '../cli/table.js';

const SECOND_MS = 1_000;
const SETTLE_MS = 10 * SECOND_MS;
const IDLE_WINDOW_MS = 10 * SECOND_MS;
const MAX_WAIT_MS = 120 * SECOND_MS;
const RACK_LOSS_WINDOW_MS = 15 * SECOND_MS;
/** Interval at which a condition on all nodes is checked. */
const STEP_MS = 100;
const CONFIG_VERSION = 5;

/** Results of one fleet: times in virtual milliseconds, bytes sent and received per second. */
export interface MembershipFigures {
  readonly nodes: number;
  readonly seed: number;
  readonly idleBytes: number;
  /** Until every node has received a new rules version. */
  readonly changeHeardMs: number;
  /** Until every node knows that the version is in force at all nodes. */
  readonly changeKnownMs: number;
  readonly leaveKnownMs: number;
  /** Until every node considers a killed node failed. */
  readonly failureKnownMs: number;
  readonly rackNodes: number;
  readonly rackKnownMs: number;
  /** Of the busiest node, in 15 s or more after the rack was lost. */
  readonly rackBytes: number;
  readonly largestDatagram: number;
}

/** Runs a fleet through a rules change, a leave, a failed node and a lost rack. */
export function measureMembership(nodes: number, seed: number): MembershipFigures {
  const fleet = new SimulatedFleet(seed);
  fleet.addFormedNodes(nodes);
  fleet.run(SETTLE_MS);
  const idleBytes = countBytes(fleet, IDLE_WINDOW_MS, () => {});
  const changeHeardMs = changeRules(fleet);
  const changeKnownMs =
    changeHeardMs + fleet.runUntil(() => isChangeKnown(fleet), MAX_WAIT_MS, STEP_MS);
  const leaveKnownMs = leave(fleet, 'node-2');
  const failureKnownMs = kill(fleet, ['node-3']);
  fleet.run(SETTLE_MS);
  const rack = fleet.running().map(({ id }) => id);
  const lost = rack.slice(3, 3 + Math.min(40, Math.floor(nodes / 5)));
  let rackKnownMs = 0;
  const rackBytes = countBytes(fleet, RACK_LOSS_WINDOW_MS, () => {
    rackKnownMs = kill(fleet, lost);
  });
  return {
    nodes,
    seed,
    idleBytes,
    changeHeardMs,
    changeKnownMs,
    leaveKnownMs,
    failureKnownMs,
    rackNodes: lost.length,
    rackKnownMs,
    rackBytes,
    largestDatagram: fleet.largestDatagram,
  };
}

/** Formats results as a table. */
export function formatMembership(figures: readonly MembershipFigures[]): string {
  const heading = ['nodes', 'seed', 'idle B/s', 'change heard', 'known', 'leave', 'failure'];
  const rackHeading = ['rack', 'rack gone', 'rack B/s', 'datagram'];
  const rows = figures.map((row) => [
    String(row.nodes),
    row.seed,
    Math.round(row.idleBytes),
    row.changeHeardMs,
    row.changeKnownMs,
    row.leaveKnownMs,
    row.failureKnownMs,
    row.rackNodes,
    row.rackKnownMs,
    Math.round(row.rackBytes),
    row.largestDatagram,
  ]);
  return formatTable([...heading, ...rackHeading], rows);
}

/** Bytes per second of the busiest node during `disturb` and for at least `milliseconds` in all. */
function countBytes(fleet: SimulatedFleet, milliseconds: number, disturb: () => void): number {
  for (const node of fleet.nodes.values()) node.bytes = 0;
  fleet.countBytes = true;
  const start = fleet.now;
  disturb();
  fleet.run(Math.max(0, start + milliseconds - fleet.now));
  fleet.countBytes = false;
  const busiest = Math.max(...fleet.running().map(({ bytes }) => bytes));
  return (busiest * SECOND_MS) / (fleet.now - start);
}

/** Gives one node a new rules version; every other node applies it when it learns of it. */
function changeRules(fleet: SimulatedFleet): number {
  const follow = (): boolean => {
    let everywhere = true;
    for (const node of fleet.running()) {
      const { protocol } = node;
      if (protocol.self().configVersion === CONFIG_VERSION) continue;
      const isInformed =
        node.id === 'node-1' ||
        protocol.members().some(({ configVersion }) => configVersion === CONFIG_VERSION);
      if (!isInformed) everywhere = false;
      else fleet.applyInput(node, (now) => protocol.update(now, { configVersion: CONFIG_VERSION }));
    }
    return everywhere;
  };
  return fleet.runUntil(follow, MAX_WAIT_MS, STEP_MS);
}

function isChangeKnown(fleet: SimulatedFleet): boolean {
  return fleet
    .running()
    .every(({ protocol }) =>
      protocol.members().every(({ configVersion }) => configVersion === CONFIG_VERSION),
    );
}

function leave(fleet: SimulatedFleet, id: string): number {
  const leavingNode = fleet.node(id);
  fleet.applyInput(leavingNode, (now) => leavingNode.protocol.leave(now));
  const isKnown = (): boolean =>
    fleet.running().every(({ protocol }) => protocol.find(id)?.state === 'leaving');
  return fleet.runUntil(isKnown, MAX_WAIT_MS, STEP_MS);
}

function kill(fleet: SimulatedFleet, ids: readonly string[]): number {
  fleet.kill(...ids);
  const isKnown = (): boolean =>
    fleet
      .running()
      .every(({ protocol }) => ids.every((id) => protocol.find(id)?.state === 'failed'));
  return fleet.runUntil(isKnown, MAX_WAIT_MS, STEP_MS);
}
