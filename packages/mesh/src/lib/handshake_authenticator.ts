/** Handshake in which both sides prove possession of the mesh key before other messages. */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {MemberInfo} from './messages.ts';

const NONCE_BYTES = 16;

/** Creates and verifies handshake proofs. @public */
export class HandshakeAuthenticator {
  constructor(private readonly meshKey: string) {}

  /** Random value that a proof must cover, which prevents replay of an old proof. */
  createNonce(): string {
    return randomBytes(NONCE_BYTES).toString('base64url');
  }

  /** Proof of `member` over the peer's nonce. */
  createProof(member: MemberInfo, peerNonce: string, side: 'client' | 'server'): string {
    const fields = [side, peerNonce, member.id, member.incarnation, member.role, member.zone];
    return createHmac('sha256', this.meshKey).update(JSON.stringify(fields)).digest('base64url');
  }

  /** True when `proof` was made with the same key over the same fields. */
  verifyProof(
    member: MemberInfo,
    ownNonce: string,
    side: 'client' | 'server',
    proof: string,
  ): boolean {
    const expected = Buffer.from(this.createProof(member, ownNonce, side));
    const actual = Buffer.from(proof);
    return expected.length === actual.length && timingSafeEqual(expected, actual);
  }
}
