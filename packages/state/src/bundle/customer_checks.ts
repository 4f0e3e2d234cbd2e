/** Checks of the customers of a bundle; messages name a customer and never a key. */
import type {CustomerName, KeyDigest} from '../ids/types.js';
import type {Customer} from './types.js';

/** Maximum number of customers of a bundle. */
export const MAX_CUSTOMERS = 1000;
/** Maximum number of keys of a customer. */
export const MAX_CUSTOMER_KEYS = 64;
/** Maximum length of a key, in bytes. */
export const MAX_KEY_BYTES = 256;
/** Maximum of a weight, and of a priority in either direction. */
const MAX_WEIGHT = 1e9;
/** Maximum of each part of a cap: sums of such amounts are still exact. */
const MAX_CAP = 1e12;

/** Whether a value is a number from 0 to a maximum. */
const isAmount = (value: number, max: number): boolean =>
  value >= 0 && value <= max;

/**
 * Checks what can be told from one customer alone.
 * @returns a message for the operator, or undefined if it is valid.
 */
export const findTermsError = ({
  name,
  keyDigests,
  priority,
  weight,
  cap,
}: Customer): string | undefined => {
  if (keyDigests.length > MAX_CUSTOMER_KEYS)
    return `customer ${name} has more than ${MAX_CUSTOMER_KEYS} keys`;
  if (new Set(keyDigests).size < keyDigests.length)
    return `customer ${name} has a key twice`;
  if (!isAmount(weight, MAX_WEIGHT))
    return `customer ${name} has an invalid weight`;
  if (!isAmount(Math.abs(priority), MAX_WEIGHT))
    return `customer ${name} has an invalid priority`;
  if (
    ![cap.cpuMillis, cap.memMb, cap.gpus].every(part => isAmount(part, MAX_CAP))
  )
    return `customer ${name} has an invalid cap`;
  return undefined;
};

/**
 * Validates the customers of a bundle.
 * @returns a message for the operator, or undefined if they are valid.
 */
export const findCustomersError = (
  customers: readonly Customer[],
): string | undefined => {
  if (customers.length > MAX_CUSTOMERS)
    return `there are more than ${MAX_CUSTOMERS} customers`;
  const names = new Set<CustomerName>();
  const owners = new Map<KeyDigest, CustomerName>();
  for (const customer of customers) {
    const {name} = customer;
    if (names.has(name)) return `two customers have the name ${name}`;
    names.add(name);
    const termsError = findTermsError(customer);
    if (termsError !== undefined) return termsError;
    for (const digest of customer.keyDigests) {
      const owner = owners.get(digest);
      if (owner !== undefined)
        return `customers ${owner} and ${name} share a key`;
      owners.set(digest, name);
    }
  }
  return undefined;
};

/**
 * Checks the keys of a customer themselves, which a bundle holds as digests only.
 * @returns a message for the operator, or undefined if they are valid.
 */
export const findKeyError = (
  name: string,
  keys: readonly Uint8Array[],
): string | undefined => {
  if (keys.some(({length}) => length === 0))
    return `customer ${name} has an empty key`;
  if (keys.some(({length}) => length > MAX_KEY_BYTES))
    return `customer ${name} has a key of more than ${MAX_KEY_BYTES} bytes`;
  return undefined;
};
