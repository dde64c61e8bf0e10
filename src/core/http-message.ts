/** HTTP messages that are forwarded unchanged, always buffered whole. */

/** Header fields in their original order and case; names may repeat. */
export type HeaderFields = readonly (readonly [name: string, value: string])[];

/** A caller's request, complete with its body. */
export interface HttpRequest {
  readonly method: string;
  /** Path with query, as received. */
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body: Uint8Array;
}

/** A back end's answer, complete with its body. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Uint8Array;
}

/** Finds the first value of a field; `name` in lower case. */
export function findHeader(headers: HeaderFields, name: string): string | undefined {
  for (const [candidate, value] of headers) {
    if (candidate.length === name.length && candidate.toLowerCase() === name) return value;
  }
  return undefined;
}
