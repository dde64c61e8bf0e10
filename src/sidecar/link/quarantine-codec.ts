/** BSON encoding of what nodes tell each other about crashed targets and suspect requests. */
import type { RequestKey, TargetCrash } from '../../core/quarantine/suspect-table.js';

type Document = Record<string, unknown>;

const KEY_SEPARATOR = ' ';

/** Returns the document of one crash. */
export function targetCrashToDocument({ target, ageMs, requests }: TargetCrash): Document {
  return { l: target, a: Math.round(ageMs), f: requests.map(keyToText) };
}

/** Decodes the crashes in a document; throws when they are malformed. */
export function targetCrashesFromDocument({ e: ends }: Document): readonly TargetCrash[] {
  if (!Array.isArray(ends)) throw new TypeError('target ends are not an array');
  return (ends as Document[]).map(({ l: target, a: ageMs, f: requests }) => {
    if (typeof target !== 'string' || typeof ageMs !== 'number' || !(ageMs >= 0)) {
      throw new TypeError('target end without target or age');
    }
    return { target, ageMs, requests: keysFromDocument(requests) };
  });
}

/** Joins the parts; the first separator ends the content, since a hash contains none. */
export function keyToText({ content, caller }: RequestKey): string {
  return content + KEY_SEPARATOR + caller;
}

/** Decodes request keys; throws when they are malformed. */
export function keysFromDocument(texts: unknown): readonly RequestKey[] {
  if (!Array.isArray(texts)) throw new TypeError('requests are not an array');
  return texts.map((text) => {
    if (typeof text !== 'string') throw new TypeError('request is not a string');
    const separator = text.indexOf(KEY_SEPARATOR);
    return { content: text.slice(0, separator), caller: text.slice(separator + 1) };
  });
}
