/** Runs a validated scenario: one policy and one seed at a time. */
import './policies.js';
import { findOverloadPolicy } from '../core/overload-policy-registry.js';
import { scheduleFaults } from './faults.js';
import { createLoadProfile } from './load-profile.js';
import { createRunResult, type RunResult } from './run-result.js';
import { resolveDeployment, type Scenario } from './scenario.js';
import { Simulation } from './simulation.js';

/** Runs a scenario under one policy and seed; the policy must be registered. */
export function runScenario(scenario: Scenario, policyName: string, seed: number): RunResult {
  const policy = findOverloadPolicy(policyName);
  if (policy === undefined) throw new Error(`unknown policy ${policyName}`);
  const deployment = resolveDeployment(scenario);
  const simulation = new Simulation({
    deployment,
    policy,
    seed,
    load: createLoadProfile(scenario.load, deployment),
    callers: scenario.callers,
    durationMs: scenario.durationMs,
    warmUpMs: scenario.warmUpMs,
    gossipMs: scenario.gossipMs,
    failureDetectionMs: scenario.failureDetectionMs,
    machineListLagMs: scenario.machineListLagMs,
  });
  scheduleFaults(simulation, scenario);
  simulation.start();
  simulation.finish();
  const { recorder, queue } = simulation;
  const events = queue.executedEvents;
  return createRunResult({ scenario, deployment, policy: policyName, seed, events, recorder });
}
