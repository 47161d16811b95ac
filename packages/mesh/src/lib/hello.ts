/** Keyed handshake: both sides prove that they hold the mesh key before anything else is said. */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {MemberInfo} from './messages.ts';

const NONCE_BYTES = 16;

/** Makes and checks handshake proofs. @public */
export class HelloGuard {
  constructor(private readonly meshKey: string) {}

  /** Random value that a proof must cover, so that an old proof is of no use. */
  newNonce(): string {
    return randomBytes(NONCE_BYTES).toString('base64url');
  }

  /** Proof of `member` over the other side's nonce. */
  prove(member: MemberInfo, peerNonce: string, side: 'client' | 'server'): string {
    const fields = [side, peerNonce, member.id, member.incarnation, member.role, member.zone];
    return createHmac('sha256', this.meshKey).update(JSON.stringify(fields)).digest('base64url');
  }

  /** True when `proof` was made with the same key over the same fields. */
  verify(member: MemberInfo, ownNonce: string, side: 'client' | 'server', proof: string): boolean {
    const wanted = Buffer.from(this.prove(member, ownNonce, side));
    const found = Buffer.from(proof);
    return wanted.length === found.length && timingSafeEqual(wanted, found);
  }
}
