/** Output files of an experiment: raw results as JSON, plots as SVG. */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { ExperimentResult } from './experiment.js';
import { plotGoodput, plotTimeSeries } from './plots.js';

/** Writes the files and returns their paths. */
export async function writeExperimentFiles(
  result: ExperimentResult,
  directory: string,
): Promise<string[]> {
  await mkdir(directory, { recursive: true });
  const { name } = result.scenario;
  const files: [string, string][] = [
    [`${name}.json`, encodeResult(result)],
    [`${name}-time.svg`, await plotTimeSeries(result)],
    [`${name}-goodput.svg`, await plotGoodput(result)],
  ];
  const paths: string[] = [];
  for (const [file, content] of files) {
    const path = join(directory, file);
    await writeFile(path, content);
    paths.push(path);
  }
  return paths;
}

/** Encodes a result as JSON; the recovery time is `null` when goodput has not recovered. */
export function encodeResult(result: unknown): string {
  return JSON.stringify(result, undefined, 1);
}
