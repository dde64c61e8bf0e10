/** Applies a scenario's faults to a run. */
import type { Fault, Scenario } from './scenario.js';
import type { Simulation } from './simulation.js';
import type { TargetSide } from './target-side.js';

/** Schedules every fault of the scenario. */
export function scheduleFaults(simulation: Simulation, scenario: Scenario): void {
  for (const fault of scenario.faults) scheduleFault(simulation, scenario, fault);
}

function scheduleFault(simulation: Simulation, scenario: Scenario, fault: Fault): void {
  const { queue } = simulation;
  const schedulePeriod = (begin: () => void, end: () => void) => {
    queue.scheduleAt(fault.fromMs, begin);
    queue.scheduleAt(fault.toMs, end);
  };
  switch (fault.type) {
    case 'slow':
      schedulePeriod(
        () => {
          for (const side of sidesOf(simulation, fault)) side.backEnd.slowdown = fault.factor;
        },
        () => {
          for (const side of sidesOf(simulation, fault)) side.backEnd.slowdown = 1;
        },
      );
      break;
    case 'shedding':
      schedulePeriod(
        () => {
          for (const side of sidesOf(simulation, fault)) side.backEnd.shedAbove = fault.queueAbove;
        },
        () => {
          for (const side of sidesOf(simulation, fault)) side.backEnd.shedAbove = Infinity;
        },
      );
      break;
    case 'death':
      scheduleDeath(simulation, scenario, fault);
      break;
    case 'drain':
      scheduleDrain(simulation, scenario, fault);
      break;
    case 'zone-loss':
      schedulePeriod(
        () => {
          simulation.loseZone(fault.zone);
        },
        () => {
          simulation.restoreZone(fault.zone, fault.coldFactor, fault.warmUpMs);
        },
      );
      break;
    case 'misleading-health':
      scheduleMisleadingHealth(simulation, fault);
      break;
    case 'lost-answers':
      schedulePeriod(
        () => {
          for (const side of sidesOf(simulation, fault)) side.backEnd.lostAnswerShare = fault.share;
        },
        () => {
          for (const side of sidesOf(simulation, fault)) side.backEnd.lostAnswerShare = 0;
        },
      );
      break;
    case 'stated-limit':
      schedulePeriod(
        () => {
          for (const side of sidesOf(simulation, fault)) {
            side.backEnd.statedLimit = fault.requestsPerSecond;
          }
        },
        () => {
          for (const side of sidesOf(simulation, fault)) side.backEnd.statedLimit = undefined;
        },
      );
      break;
    case 'platform-outage':
      // It only delays the list of machines; see listedAt.
      break;
  }
}

function scheduleDeath(
  simulation: Simulation,
  scenario: Scenario,
  fault: Fault & { type: 'death' },
): void {
  const { queue } = simulation;
  queue.scheduleAt(fault.fromMs, () => {
    for (const side of sidesOf(simulation, fault)) side.backEnd.kill();
  });
  queue.scheduleAt(fault.toMs, () => {
    for (const side of sidesOf(simulation, fault)) {
      side.backEnd.start(fault.coldFactor, fault.warmUpMs);
    }
  });
  for (const target of targetsOf(simulation, fault)) {
    scheduleListing(simulation, scenario, target, fault);
  }
}

/**
 * Removes a target from the list of machines and adds it back, each after the list's delay; an
 * absence that is over before it would show is left out.
 */
function scheduleListing(
  simulation: Simulation,
  scenario: Scenario,
  target: string,
  { fromMs, toMs }: { readonly fromMs: number; readonly toMs: number },
): void {
  const goneAt = listedAt(scenario, fromMs);
  const backAt = listedAt(scenario, toMs);
  if (backAt <= goneAt) return;
  simulation.queue.scheduleAt(goneAt, () => {
    simulation.exclude(target, 'unlisted', true);
  });
  simulation.queue.scheduleAt(backAt, () => {
    simulation.exclude(target, 'unlisted', false);
  });
}

/**
 * Time at which the list of machines shows a change made at `at`: after its lag, and not during an
 * outage.
 */
export function listedAt(scenario: Scenario, at: number): number {
  let shown = at + scenario.machineListLagMs;
  const outages = scenario.faults
    .filter(({ type }) => type === 'platform-outage')
    .sort((left, right) => left.fromMs - right.fromMs);
  for (const { fromMs, toMs } of outages) {
    if (shown >= fromMs && shown < toMs) shown = toMs;
  }
  return shown;
}

function scheduleDrain(
  simulation: Simulation,
  scenario: Scenario,
  fault: Fault & { type: 'drain' },
): void {
  const { queue } = simulation;
  const sides = () => sidesOf(simulation, fault);
  queue.scheduleAt(fault.fromMs, () => {
    for (const side of sides()) side.backEnd.announcesLeaving = true;
  });
  queue.scheduleAt(fault.fromMs + fault.graceMs, () => {
    for (const side of sides()) side.backEnd.state = 'draining';
  });
  for (const target of targetsOf(simulation, fault)) {
    scheduleListing(simulation, scenario, target, fault);
  }
  queue.scheduleAt(fault.toMs, () => {
    for (const side of sides()) {
      side.backEnd.start(fault.coldFactor, fault.warmUpMs);
      side.leaving = false;
    }
    for (const target of targetsOf(simulation, fault)) simulation.exclude(target, 'leaving', false);
  });
}

function scheduleMisleadingHealth(
  simulation: Simulation,
  fault: Fault & { type: 'misleading-health' },
): void {
  const apply = (active: boolean) => {
    if (fault.mode === 'looks-healthy') {
      for (const side of sidesOf(simulation, fault)) {
        side.backEnd.resetShare = active ? fault.resetShare : 0;
      }
      return;
    }
    for (const target of targetsOf(simulation, fault)) {
      simulation.exclude(target, 'looks-down', active);
    }
  };
  simulation.queue.scheduleAt(fault.fromMs, () => {
    apply(true);
  });
  simulation.queue.scheduleAt(fault.toMs, () => {
    apply(false);
  });
}

interface TargetSelection {
  readonly service: string;
  readonly target?: string | undefined;
}

function targetsOf(simulation: Simulation, selection: TargetSelection): string[] {
  const service = simulation.deployment.services.find(({ name }) => name === selection.service);
  const ids = (service?.targets ?? []).map(({ id }) => id);
  return ids.filter((id) => selection.target === undefined || id === selection.target);
}

function sidesOf(simulation: Simulation, selection: TargetSelection): TargetSide[] {
  return targetsOf(simulation, selection).map((target) => simulation.targetSide(target));
}
