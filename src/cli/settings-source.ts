/** Puts a node's settings together from a file, flags and the environment. */
import { readFile } from 'node:fs/promises';
import { Result } from 'true-myth';
import { z } from 'zod';
import { parseAndValidate } from '../config/document.js';
import { validateSettings, type Settings } from '../config/settings.js';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';

/** One value that stands above the file's; `path` is that of the settings document. */
export interface SettingsOverride {
  readonly path: readonly [string, ...string[]];
  readonly value: unknown;
}

const sectionSchema = z.record(z.string(), z.unknown());
type Section = Record<string, unknown>;

/** Reads a text file; a failure carries `code`. */
export async function readTextFile(
  path: string,
  code: ResultCode,
): Promise<Result<string, Failure>> {
  try {
    return Result.ok(await readFile(path, 'utf8'));
  } catch (error) {
    return Result.err(createFailure(code, `cannot read ${path}: ${(error as Error).message}`));
  }
}

/**
 * Reads settings.
 *
 * @param file path of a YAML or JSON document; absent starts from an empty one
 * @param overrides values of flags; those that are `undefined` are passed over
 * @returns validated settings, or `SettingsInvalid` with every violation
 */
export async function loadSettings(
  file: string | undefined,
  overrides: readonly SettingsOverride[],
): Promise<Result<Settings, Failure>> {
  const document = file === undefined ? Result.ok<Section, Failure>({}) : await readDocument(file);
  return document.andThen((section) => {
    const merged = overrides
      .filter(({ value }) => value !== undefined)
      .reduce<Section>(({ ...base }, { path, value }) => setPath(base, path, value), section);
    return validateSettings(merged);
  });
}

async function readDocument(file: string): Promise<Result<Section, Failure>> {
  const text = await readTextFile(file, ResultCode.SettingsInvalid);
  return text.andThen((content) =>
    parseAndValidate(content, sectionSchema, ResultCode.SettingsInvalid),
  );
}

function setPath(base: Section, path: readonly string[], value: unknown): Section {
  const [head, ...rest] = path;
  if (head === undefined) return base;
  if (rest.length === 0) return { ...base, [head]: value };
  const child = sectionSchema.safeParse(base[head] ?? {});
  // A section that is no mapping stays as it is, so that the validation reports it.
  if (!child.success) return base;
  return { ...base, [head]: setPath(child.data, rest, value) };
}
