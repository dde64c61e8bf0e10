/**
 * Mutual authentication of a link: HMAC-SHA256 challenge and response with the shared key.
 * Each proof covers the prover's role, both node ids and both nonces, so that a proof can
 * neither be replayed on another connection nor reflected to its sender.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Envelope } from './frame-codec.js';

/** Version of the peer protocol; nodes of different versions reject each other. */
export const PEER_PROTOCOL_VERSION = 1;

/** Largest frame before the peer has proved that it has the key, in bytes. */
export const MAX_HANDSHAKE_FRAME_BYTES = 1_024;

const NONCE_BYTES = 32;
const PROOF_BYTES = 32;
const MAX_NODE_ID_LENGTH = 63;

/** Side of a link: the client opened the connection. */
export type LinkRole = 'client' | 'server';

/** Input of both proofs. */
export interface HandshakeContext {
  readonly clientNode: string;
  readonly serverNode: string;
  readonly clientNonce: Buffer;
  readonly serverNonce: Buffer;
}

/** The content of a hello frame. */
export interface Hello {
  readonly node: string;
  readonly nonce: Buffer;
  /** Node that the client wants to reach; only from the client. */
  readonly to?: string;
  /** Only from the server, which has both nonces already. */
  readonly proof?: Buffer;
}

/** Creates a random challenge. */
export function createNonce(): Buffer {
  return randomBytes(NONCE_BYTES);
}

/** Computes the proof of one side. */
export function createProof(key: string, role: LinkRole, context: HandshakeContext): Buffer {
  const hmac = createHmac('sha256', key);
  const parts = [
    `sillshore-peer-${PEER_PROTOCOL_VERSION}`,
    role,
    context.clientNode,
    context.serverNode,
    context.clientNonce,
    context.serverNonce,
  ];
  for (const part of parts) {
    const length = Buffer.alloc(4);
    length.writeUInt32LE(Buffer.byteLength(part));
    hmac.update(length).update(part);
  }
  return hmac.digest();
}

/**
 * Checks the proof of the other side in constant time for each key.
 *
 * @param keys any of them is accepted, so that the key can be changed node by node
 */
export function verifyProof(
  keys: readonly string[],
  role: LinkRole,
  context: HandshakeContext,
  proof: unknown,
): boolean {
  if (!Buffer.isBuffer(proof) || proof.length !== PROOF_BYTES) return false;
  return keys.some((key) => timingSafeEqual(createProof(key, role, context), proof));
}

/** Builds a hello frame. */
export function createHelloFrame(hello: Hello): Envelope {
  const { node, ...rest } = hello;
  return { t: 'hello', id: 0, name: node, body: { version: PEER_PROTOCOL_VERSION, ...rest } };
}

/** Builds the frame with the client's proof. */
export function createProofFrame(proof: Buffer): Envelope {
  return { t: 'proof', id: 0, body: { proof } };
}

/** Reads a hello frame; undefined when it is not one of this protocol version. */
export function readHello(envelope: Envelope): Hello | undefined {
  const { t, name: node } = envelope;
  const body = (envelope.body ?? {}) as Record<string, unknown>;
  const { version, nonce, to, proof } = body;
  if (t !== 'hello' || version !== PEER_PROTOCOL_VERSION) return undefined;
  if (node === undefined || node === '' || node.length > MAX_NODE_ID_LENGTH) return undefined;
  if (!Buffer.isBuffer(nonce) || nonce.length !== NONCE_BYTES) return undefined;
  return {
    node,
    nonce,
    ...(typeof to === 'string' && { to }),
    ...(Buffer.isBuffer(proof) && { proof }),
  };
}

/** Reads the proof out of a proof frame. */
export function readProof(envelope: Envelope): unknown {
  if (envelope.t !== 'proof') return undefined;
  return (envelope.body as { proof?: unknown } | undefined)?.proof;
}
