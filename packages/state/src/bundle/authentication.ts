/**
 * Authenticates callers by the digests of their keys. Load pattern: every call
 * of a client is authenticated, against up to 64,000 keys.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {KeyDigest} from '../ids/types.js';
import {assertNever} from '../utils/assert_never.js';
import type {Bundle, Customer, Queue} from './types.js';

/** Why a caller is not authenticated: it gave no key, or one that the bundle lacks. */
export type DenialCause = 'missing' | 'unknown';

/** What a bundle tells of a caller. */
export type Caller =
  /** The bundle has no customers, so nobody is authenticated. */
  | {readonly kind: 'unchecked'}
  | {readonly kind: 'customer'; readonly customer: Customer}
  /** A caller of a public queue without a known key. */
  | {readonly kind: 'anonymous'}
  | {readonly kind: 'denied'; readonly cause: DenialCause};

/** Digest of a key, from its bytes. */
export const digestKey = (key: Uint8Array): KeyDigest =>
  createHash('sha256').update(key).digest('base64url') as KeyDigest;

interface IndexedKey {
  readonly digest: Buffer;
  readonly customer: Customer;
}

/** Keys of one bundle, grouped by the first characters of their digests. */
type KeyIndex = ReadonlyMap<string, readonly IndexedKey[]>;

/**
 * Characters by which digests are grouped: few enough that a lookup's time tells
 * nothing useful of a digest, and enough that groups of 64,000 keys are small.
 */
const GROUP_LENGTH = 3;

const groupOf = (digest: KeyDigest): string => digest.slice(0, GROUP_LENGTH);

const makeIndex = (customers: readonly Customer[]): KeyIndex => {
  const index = new Map<string, IndexedKey[]>();
  for (const customer of customers)
    for (const keyDigest of customer.keyDigests) {
      const group = index.get(groupOf(keyDigest)) ?? [];
      index.set(groupOf(keyDigest), group);
      group.push({digest: Buffer.from(keyDigest), customer});
    }
  return index;
};

/** Indexes of the customers in use, each made at the first look-up. */
const indexes = new WeakMap<readonly Customer[], KeyIndex>();

const indexOf = (customers: readonly Customer[]): KeyIndex => {
  const known = indexes.get(customers);
  if (known) return known;
  const index = makeIndex(customers);
  indexes.set(customers, index);
  return index;
};

/** The customer with a key; compares each digest of a group in constant time. */
const findCustomer = (
  customers: readonly Customer[],
  credential: KeyDigest,
): Customer | undefined => {
  const given = Buffer.from(credential);
  let found: Customer | undefined;
  for (const {digest, customer} of indexOf(customers).get(
    groupOf(credential),
  ) ?? [])
    if (digest.length === given.length && timingSafeEqual(digest, given))
      found = customer;
  return found;
};

/** Authenticates a caller of a queue, who gave the key with the digest `credential`. */
export const authenticate = (
  {customers}: Pick<Bundle, 'customers'>,
  {isPublic = false}: Pick<Queue, 'isPublic'>,
  credential: KeyDigest | undefined,
): Caller => {
  if (customers === undefined) return {kind: 'unchecked'};
  const customer =
    credential === undefined ? undefined : findCustomer(customers, credential);
  if (customer) return {kind: 'customer', customer};
  if (isPublic) return {kind: 'anonymous'};
  return {
    kind: 'denied',
    cause: credential === undefined ? 'missing' : 'unknown',
  };
};

/** The customer for whom a caller acts, if it is known. */
export const customerOf = (caller: Caller): Customer | undefined => {
  switch (caller.kind) {
    case 'customer':
      return caller.customer;
    case 'unchecked':
    case 'anonymous':
    case 'denied':
      return undefined;
    default:
      return assertNever(caller);
  }
};
