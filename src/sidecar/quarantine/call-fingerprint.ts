/** The fingerprint of a call as it goes over links, so that nothing more has to be sent. */
import { fingerprintOf } from '../../core/quarantine/request-fingerprint.js';
import type { AttemptCall, RawFields } from '../link/link-messages.js';

const HOST = 'host';

/** See {@link fingerprintOf}; the same at each node that the call passes. */
export function fingerprintOfCall(call: AttemptCall): string {
  const { method, path, callerService, body, fields } = call;
  return fingerprintOf({ method, host: hostOf(fields), path, callerService, body });
}

function hostOf(fields: RawFields): string {
  for (let index = 0; index + 1 < fields.length; index += 2) {
    if (fields[index]!.toLowerCase() === HOST) return fields[index + 1]!;
  }
  return '';
}
