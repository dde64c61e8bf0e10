/** Loads a node's settings from a file, flags and the environment. */
import { readFile } from 'node:fs/promises';
import { Result } from 'true-myth';
import { z } from 'zod';
import { parseAndValidate } from '../config/parse-document.js';
import { validateSettings, type Settings } from '../config/settings.js';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';

/** A value that overrides the file's; `path` is its path in the settings document. */
export interface SettingsOverride {
  readonly path: readonly [string, ...string[]];
  readonly value: unknown;
}

const sectionSchema = z.record(z.string(), z.unknown());
type Section = Record<string, unknown>;

/** Reads a text file; a failure has the result code `code`. */
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
 * Loads and validates settings.
 *
 * @param file path of a YAML or JSON document; without it an empty document is used
 * @param overrides values of flags and the environment; `undefined` values are ignored
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
  // A section that is not a mapping stays as it is, so that the validation reports it.
  if (!child.success) return base;
  return { ...base, [head]: setPath(child.data, rest, value) };
}
