/** The call `configFetch` between nodes: client and handler, which validate what they receive. */
import { Result } from 'true-myth';
import { z } from 'zod';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { ConfigStore, RevisionRecord } from './config-store.js';
import { validateValue } from './validate-value.js';
import { revisionRecordSchema } from './stored-revision.js';

/** Time limit of one call in milliseconds. */
const FETCH_TIMEOUT_MS = 1_000;

const requestSchema = z.object({ after: z.number().min(0) });
const replySchema = z.object({ records: z.array(revisionRecordSchema), version: z.number() });

/**
 * Requests everything newer than `after` from a peer; with it this node has all that the peer has.
 * Failures: those of the network, `NotReady`, `FrameMalformed`.
 */
export async function fetchRules(
  network: PeerNetwork,
  node: string,
  after: number,
): Promise<Result<readonly RevisionRecord[], Failure>> {
  const options = { timeoutMs: FETCH_TIMEOUT_MS };
  const reply = await network.call(node, 'configFetch', { after }, options);
  return reply
    .andThen((body) => validateValue(body, replySchema, ResultCode.FrameMalformed))
    .map(({ records }) => records);
}

/** Serves the store's records to peers; fails until this node has loaded the rules itself. */
export function serveRulesFetch(
  network: PeerNetwork,
  store: ConfigStore,
  isLoaded: () => boolean,
): void {
  const validate = (body: unknown) => validateValue(body, requestSchema, ResultCode.FrameMalformed);
  network.handle('configFetch', validate, (_from, { after }) => {
    if (!isLoaded()) {
      const failure = createFailure(ResultCode.NotReady, 'rules are not loaded yet');
      return Promise.resolve(Result.err(failure));
    }
    const records = store.records().filter(({ version }) => version > after);
    return Promise.resolve(Result.ok({ records, version: store.version }));
  });
}
