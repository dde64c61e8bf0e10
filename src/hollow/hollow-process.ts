/** One process of hollow nodes: commands are JSON lines in, reports JSON lines out. */
import { createInterface } from 'node:readline';
import type { Readable, Writable } from 'node:stream';
import { z } from 'zod';
import { HollowNodes, type HollowReport } from './hollow-nodes.js';
import { createHollowSettings, type HollowFleet } from './hollow-settings.js';

/** A command to the process. */
export const hollowCommandSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('report') }),
  z.strictObject({ type: z.literal('fail'), count: z.int().min(1) }),
  z.strictObject({ type: z.literal('stop') }),
]);

/** See {@link hollowCommandSchema}. */
export type HollowCommand = z.infer<typeof hollowCommandSchema>;

/** A line of the process. */
export type HollowMessage =
  | { readonly type: 'started' }
  | { readonly type: 'report'; readonly report: HollowReport }
  /** A node's rules version rose at `atMs` (Unix milliseconds). */
  | {
      readonly type: 'version';
      readonly node: string;
      readonly version: number;
      readonly atMs: number;
    };

/** Streams of the process. */
export interface HollowStreams {
  readonly stdin: Readable;
  readonly stdout: Writable;
}

/** Starts `count` nodes from `first` on and obeys commands until `stop` or the input's end. */
export async function runHollowProcess(
  fleet: HollowFleet,
  first: number,
  count: number,
  { stdin, stdout }: HollowStreams,
): Promise<void> {
  const write = (message: HollowMessage): void => {
    stdout.write(`${JSON.stringify(message)}\n`);
  };
  const nodes = new HollowNodes();
  const numbers = Array.from({ length: count }, (_, index) => first + index);
  await nodes.start(numbers.map((number) => createHollowSettings(fleet, number)));
  nodes.onVersion((node, version) => {
    write({ type: 'version', node, version, atMs: Date.now() });
  });
  write({ type: 'started' });
  for await (const line of createInterface({ input: stdin })) {
    const command = hollowCommandSchema.parse(JSON.parse(line));
    if (command.type === 'stop') break;
    if (command.type === 'fail') await nodes.fail(command.count);
    write({ type: 'report', report: nodes.report() });
  }
  await nodes.stop();
}
