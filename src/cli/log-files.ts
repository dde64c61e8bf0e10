import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';
import { parseLogLine, type LogLine } from '../logs/request-story.js';

/** Reads the log lines about requests from files, or from standard input when no file is named. */
export async function readLogLines(
  files: readonly string[],
  standardInput: Readable,
): Promise<readonly LogLine[]> {
  const inputs = files.length === 0 ? [standardInput] : files.map((file) => createReadStream(file));
  const lines: LogLine[] = [];
  for (const input of inputs) {
    for await (const text of createInterface({ input })) {
      const line = parseLogLine(text);
      if (line !== undefined) lines.push(line);
    }
  }
  return lines;
}
