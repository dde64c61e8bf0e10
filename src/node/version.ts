/** Version of the installed package. */
import { readFileSync } from 'node:fs';
import { z } from 'zod';

const packageSchema = z.object({ version: z.string() });
const packageFile = new URL('../../../package.json', import.meta.url);
const { version } = packageSchema.parse(JSON.parse(readFileSync(packageFile, 'utf8')));

/** Returns the program's version from package.json. */
export function readVersion(): string {
  return version;
}
