/** TLS in the settings: PEM texts, since a node's machine has no disk to read files from. */
import { createSecureContext } from 'node:tls';
import { z } from 'zod';

/** Longest PEM text in characters; room for a chain of certificates. */
const MAX_PEM_LENGTH = 65_536;

const pem = z.string().min(1).max(MAX_PEM_LENGTH);

const serverTls = z.strictObject({
  /** Certificate, followed by its intermediate ones. */
  certificate: pem,
  /** Private key of the certificate. */
  key: pem,
});

const mutualTls = serverTls.extend({
  /** Certificates of the authorities, one or more, that the peers' certificates must come from. */
  ca: pem,
});

/** Schema of the TLS of a listener whose clients present no certificate. */
export const serverTlsSchema = serverTls.superRefine(checkPem);

/** Schema of the TLS of links between nodes, which all present a certificate. */
export const mutualTlsSchema = mutualTls.superRefine(checkPem);

/** TLS of links between nodes. */
export type MutualTls = z.infer<typeof mutualTls>;

/** Finds at start a text that is not PEM, or the key of another certificate. */
function checkPem(
  { certificate, key, ca }: { certificate: string; key: string; ca?: string },
  context: z.RefinementCtx,
): void {
  try {
    createSecureContext({ cert: certificate, key, ...(ca !== undefined && { ca }) });
  } catch (error) {
    // OpenSSL's messages contain nothing of the key.
    const message = `not usable: ${(error as Error).message}`;
    context.addIssue({ code: 'custom', message });
  }
}
