/** `sillshore bench membership`. */
import { Command, Option } from 'clipanion';
import * as t from 'typanion';
import { SillshoreCommand } from '../cli/command.js';
import { ExitCode } from '../cli/exit-code.js';

const positiveInteger = t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]);
const DEFAULT_SIZES = ['10', '100', '300'];
const MIN_NODES = 5;

/** Measures the membership protocol without the rest of a node. */
export class BenchMembershipCommand extends SillshoreCommand {
  static override paths = [['bench', 'membership']];
  static override usage = Command.Usage({
    category: 'Benchmarks',
    description: 'measure the membership protocol under virtual time',
    details: `
      Runs the protocol of a whole fleet in one process on a simulated network (0.5 to 1.5 ms one
      way) and prints, per size and seed, in virtual milliseconds: until every node has received a
      change of the rules, until every node knows that all have it in force, until a planned stop
      and a killed node are known everywhere, until a rack is gone from every view; and bytes per
      second, sent and received with packet headers, of the busiest node. The same seed gives the
      same figures.
    `,
    examples: [
      ['Three sizes, three seeds each', '$0 bench membership'],
      ['1,000 nodes, once', '$0 bench membership --size 1000 --seeds 1'],
    ],
  });

  sizes = Option.Array('--size', { description: 'Nodes; repeat for more; at least 5' });
  seeds = Option.String('--seeds', '3', { validator: positiveInteger });
  json = Option.Boolean('--json', false, { description: 'Print JSON' });

  protected async run(): Promise<ExitCode> {
    const sizes = (this.sizes ?? DEFAULT_SIZES).map(Number);
    if (!sizes.every((size) => Number.isInteger(size) && size >= MIN_NODES)) {
      this.context.stderr.write(`--size must be a whole number, ${MIN_NODES} at least\n`);
      return ExitCode.InvalidInput;
    }
    const { measureMembership, formatMembership } = await import('./membership-benchmark.js');
    const figures = sizes.flatMap((size) =>
      Array.from({ length: this.seeds }, (_, index) => measureMembership(size, index + 1)),
    );
    if (this.json) this.printJson(figures);
    else this.print(`${formatMembership(figures)}\n`);
    return ExitCode.Ok;
  }
}

/** Commands that run the membership protocol in simulation. */
export const commands = [BenchMembershipCommand];
