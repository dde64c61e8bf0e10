/** Handles other nodes' claim calls: each goes to its group at this node. */
import { Result } from 'true-myth';
import type { PeerNetwork } from '../peer/peer-network.js';
import {
  validatePageRequest,
  validateRecordsRequest,
  validateReplicaCall,
  validateStageRequest,
} from './claim-messages.js';
import type { GroupDirectory } from './group-directory.js';

/** Registers the handlers of all claim calls. */
export function serveGroups(network: PeerNetwork, directory: GroupDirectory): void {
  network.handle('claimReplica', validateReplicaCall, (_from, call) =>
    directory.open(call.group).server.answer(call),
  );
  network.handle('claimPage', validatePageRequest, (_from, request) =>
    Promise.resolve(Result.ok(directory.open(request.group).server.findPage(request))),
  );
  network.handle('claimStage', validateStageRequest, (_from, request) => {
    directory.open(request.group).server.storePage(request);
    return Promise.resolve(Result.ok({}));
  });
  network.handle('claimRecords', validateRecordsRequest, (_from, request) =>
    Promise.resolve(Result.ok(directory.findNewer(request))),
  );
}
