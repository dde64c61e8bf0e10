/**
 * What makes two requests the same: a request that comes again has another identity of its try, and
 * maybe another node, but does the same to a target.
 */
import { hash64 } from '../hash.js';

/** The parts of a request that a target's behaviour depends on. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path with query. */
  readonly path: string;
  /** Service on whose machine the request began. */
  readonly callerService: string;
  readonly body: Uint8Array;
}

/** A text that is equal for requests of equal content, and for others but by rare chance. */
export function fingerprintOf(content: RequestContent): string {
  const { method, host, path, callerService, body } = content;
  return hash64(`${method}\n${host}\n${path}\n${callerService}`, body);
}
