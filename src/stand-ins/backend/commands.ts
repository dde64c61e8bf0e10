/** `sillshore emulate backend`. */
import { readFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { Result } from 'true-myth';
import { SillshoreCommand } from '../../cli/command.js';
import { ExitCode } from '../../cli/exit-code.js';
import { createFailure, type Failure } from '../../core/failure.js';
import { ResultCode } from '../../core/result-code.js';
import type { BackendWorkload } from '../workload.js';
import { BACKEND_DEFAULTS, type BackendOptions, type DownstreamCall } from './backend-options.js';

const positiveInteger = t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]);
const notNegative = t.cascade(t.isNumber(), [t.isAtLeast(0)]);

/** Runs one back end stand-in. */
export class EmulateBackendCommand extends SillshoreCommand {
  static override paths = [['emulate', 'backend']];
  static override usage = Command.Usage({
    category: 'Stand-ins',
    description: 'run a back end for tests and trials',
    details: `
      Runs a back end with slots, a queue, seeded service times, cold start, drain and an effects
      journal until SIGTERM. Its first line on standard output contains the address.

      With --workload the service times and the calls to other services come from the file;
      --node then names the entries through which it calls. Without a file --calls gives both:
      \`service=host@http://127.0.0.1:8080\`, once for each call.

      GET /control/journal returns the journal, POST /control switches faults (JSON).
    `,
    examples: [
      [
        'A target of a service that calls no other service',
        '$0 emulate backend --listen 127.0.0.1:9001 --service guide --target guide-1 --slots 12',
      ],
      [
        'The same with the work of an example',
        '$0 emulate backend --listen 127.0.0.1:9001 --service script-guide --target script-guide-1 --slots 12 --workload examples/recife/workload.yaml --node http://127.0.0.1:8080',
      ],
    ],
  });

  listen = Option.String('--listen', {
    required: true,
    description: 'Address, for example 127.0.0.1:9001',
  });
  service = Option.String('--service', { required: true });
  target = Option.String('--target', { required: true });
  slots = Option.String('--slots', { required: true, validator: positiveInteger });
  maxQueue = Option.String('--max-queue', `${BACKEND_DEFAULTS.maxQueue}`, {
    validator: positiveInteger,
    description: 'Maximum waiting requests; further ones are shed',
  });
  serviceMs = Option.String('--service-ms', '10', {
    validator: notNegative,
    description: 'Mean service time in milliseconds',
  });
  sigma = Option.String('--sigma', `${BACKEND_DEFAULTS.sigma}`, {
    validator: notNegative,
    description: 'Standard deviation of the logarithm of the service time; 0 is constant',
  });
  connections = Option.String('--connections', `${BACKEND_DEFAULTS.connections}`, {
    validator: positiveInteger,
  });
  connectionCostMs = Option.String('--connection-cost-ms', `${BACKEND_DEFAULTS.connectionCostMs}`, {
    validator: notNegative,
    description: 'Delay of the first request on a connection',
  });
  coldMs = Option.String('--cold-ms', `${BACKEND_DEFAULTS.coldMs}`, {
    validator: notNegative,
    description: 'Milliseconds after the start in which requests take longer',
  });
  coldFactor = Option.String('--cold-factor', `${BACKEND_DEFAULTS.coldFactor}`, {
    validator: notNegative,
  });
  seed = Option.String('--seed', `${BACKEND_DEFAULTS.seed}`, { validator: t.isNumber() });
  calls = Option.Array('--calls', [], { description: 'service=host@nodeURL; repeat for more' });
  workload = Option.String('--workload', { description: 'Workload document of an example' });
  nodes = Option.Array('--node', [], { description: 'Entry for the calls of the workload' });

  protected async run(): Promise<ExitCode> {
    const options = await this.readOptions();
    if (options.isErr) return this.fail(options.error);
    const { startBackend } = await import('./start-backend.js');
    const { waitForStopSignal } = await import('../stop-signal.js');
    const backend = await startBackend(options.value);
    this.print(JSON.stringify({ ready: true, address: backend.address }));
    await waitForStopSignal();
    await backend.stop();
    return ExitCode.Ok;
  }

  private async readOptions(): Promise<Result<BackendOptions, Failure>> {
    const flags: BackendOptions = {
      listen: this.listen,
      service: this.service,
      target: this.target,
      slots: this.slots,
      maxQueue: this.maxQueue,
      serviceMs: this.serviceMs,
      sigma: this.sigma,
      connections: this.connections,
      connectionCostMs: this.connectionCostMs,
      coldMs: this.coldMs,
      coldFactor: this.coldFactor,
      answerBytes: BACKEND_DEFAULTS.answerBytes,
      seed: this.seed,
      work: [],
      calls: [],
    };
    if (this.workload === undefined) {
      return parseCalls(this.calls).map((calls) => ({ ...flags, calls }));
    }
    const { parseWorkload } = await import('../workload.js');
    return parseWorkload(readFileSync(this.workload, 'utf8')).andThen((workload) => {
      const found = workload.backends.find((candidate) => candidate.service === this.service);
      if (found !== undefined) return Result.ok(applyWorkload(flags, found, this.nodes));
      const detail = `the workload has no service ${this.service}`;
      return Result.err(createFailure(ResultCode.InvalidField, detail));
    });
  }
}

function applyWorkload(
  flags: BackendOptions,
  workload: BackendWorkload,
  nodes: readonly string[],
): BackendOptions {
  const { serviceMs, sigma, answerBytes, work } = workload;
  const calls = workload.calls.map((call) => ({ ...call, nodes }));
  return { ...flags, serviceMs, sigma, answerBytes, work, calls };
}

const callForm = /^([a-z][a-z0-9-]*)=([^@\s]+)@(https?:\/\/\S+)$/;

/** Parses `service=host@nodeURL`; such a call is a GET of `/` for every request. */
function parseCalls(texts: readonly string[]): Result<readonly DownstreamCall[], Failure> {
  const calls: DownstreamCall[] = [];
  for (const text of texts) {
    const [, service, host, node] = callForm.exec(text) ?? [];
    if (service === undefined || host === undefined || node === undefined) {
      const detail = `--calls ${text}: expected service=host@nodeURL`;
      return Result.err(createFailure(ResultCode.InvalidField, detail));
    }
    calls.push({ on: {}, service, host, nodes: [node], method: 'GET', path: '/' });
  }
  return Result.ok(calls);
}

export const commands = [EmulateBackendCommand];
