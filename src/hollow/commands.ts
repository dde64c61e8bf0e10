/** `sillshore emulate nodes` and `sillshore bench fleet`. */
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { SillshoreCommand } from '../cli/command.js';
import { ExitCode } from '../cli/exit-code.js';

const wholeNumber = t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(0)]);
const positive = t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]);

const DEFAULT_SIZES = ['50', '100', '250'];

/** Runs hollow nodes in this process. */
export class EmulateNodesCommand extends SillshoreCommand {
  static override paths = [['emulate', 'nodes']];
  static override usage = Command.Usage({
    category: 'Stand-ins',
    description: 'run hollow nodes for capacity measurements',
    details: `
      Runs nodes without entry, target side and operators' interface, several in this process,
      until SIGTERM. Commands are JSON lines on standard input; every line on standard output is
      a JSON object. \`sillshore bench fleet\` starts and drives these processes.
    `,
    examples: [
      [
        'The first 50 of 100 nodes',
        '$0 emulate nodes --total 100 --first 0 --count 50 --first-port 21000 --platform http://127.0.0.1:2379',
      ],
    ],
  });

  total = Option.String('--total', { required: true, validator: positive });
  first = Option.String('--first', '0', { validator: wholeNumber });
  count = Option.String('--count', { required: true, validator: positive });
  zones = Option.String('--zones', '7', { validator: positive });
  regions = Option.String('--regions', '2', { validator: positive });
  firstPort = Option.String('--first-port', { required: true, validator: positive });
  platform = Option.String('--platform', { required: true, description: 'Base URL' });

  protected async run(): Promise<ExitCode> {
    const { runHollowProcess } = await import('./hollow-process.js');
    const { total, zones, regions, firstPort, platform, first, count } = this;
    const fleet = { total, zones, regions, firstPort, platform };
    await runHollowProcess(fleet, first, count, this.context);
    return ExitCode.Ok;
  }
}

/** Measures what control costs as the fleet grows. */
export class BenchFleetCommand extends SillshoreCommand {
  static override paths = [['bench', 'fleet']];
  static override usage = Command.Usage({
    category: 'Benchmarks',
    description: 'measure what control costs as the fleet grows',
    details: `
      Starts a platform stand-in and hollow nodes at each size, waits until every node sees all
      others, lets the fleet rest, applies changes of configuration, stops a rack of nodes at
      once, and prints a table: processor time, memory and bytes a node, time until a change is
      in force at every node, time until every node has dropped the stopped ones, and requests
      at the platform.
    `,
    examples: [
      ['Three sizes', '$0 bench fleet --size 50 --size 100 --size 250'],
      ['One size, for a program', '$0 bench fleet --size 1000 --json'],
    ],
  });

  sizes = Option.Array('--size', {
    description: 'Nodes; repeat for more; 50, 100 and 250 when absent',
  });
  perProcess = Option.String('--nodes-per-process', '125', { validator: positive });
  firstPort = Option.String('--first-port', '21000', {
    validator: positive,
    description: 'The nodes take as many ports from here on',
  });
  changes = Option.String('--changes', '5', { validator: positive });
  settleMs = Option.String('--settle-ms', '20000', { validator: positive });
  restMs = Option.String('--rest-ms', '20000', { validator: positive });
  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  protected async run(): Promise<ExitCode> {
    const sizes = (this.sizes ?? DEFAULT_SIZES).map(Number);
    if (!sizes.every((size) => Number.isInteger(size) && size >= 3)) {
      this.context.stderr.write('--size must be a whole number of at least 3\n');
      return ExitCode.InvalidInput;
    }
    const { runFleetBenchmark, formatFleetRuns } = await import('./fleet-benchmark.js');
    const { perProcess, firstPort, changes, settleMs, restMs } = this;
    const progress = (text: string): void => {
      this.context.stderr.write(`${text}\n`);
    };
    const options = { sizes, perProcess, firstPort, changes, settleMs, restMs, progress };
    const runs = await runFleetBenchmark(options);
    if (this.json) this.printJson(runs);
    else this.print(formatFleetRuns(runs));
    return ExitCode.Ok;
  }
}

/** Commands of this module. */
export const commands = [EmulateNodesCommand, BenchFleetCommand];
