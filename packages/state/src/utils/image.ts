/**
 * Images of decision cores: the whole state of a core as bytes, from which an
 * equal core is made. References within the state are kept.
 */
import {deserialize, serialize} from 'node:v8';

/** Gives a plain object, and the objects in its fields, their classes back. */
export type Reviver<T> = (plain: unknown) => T;

/** Bytes that hold the state of a core. */
export const toImage = (core: object): Uint8Array => serialize(core);

/** Makes a core from its image. */
export const fromImage = <T>(image: Uint8Array, revive: Reviver<T>): T =>
  revive(deserialize(image));

/**
 * Makes a reviver for a class.
 * @param prototype - prototype of the class.
 * @param fields - revivers of the fields that hold objects of other classes.
 */
export const reviverOf =
  <T extends object>(
    prototype: T,
    fields: Readonly<Record<string, Reviver<unknown>>> = {},
  ): Reviver<T> =>
  plain => {
    const revived = Object.setPrototypeOf(plain, prototype) as Record<
      string,
      unknown
    >;
    for (const [field, revive] of Object.entries(fields))
      revive(revived[field]);
    return revived as T;
  };

/** Makes a reviver for the values of a map. */
export const mapReviver =
  (revive: Reviver<unknown>): Reviver<unknown> =>
  plain => {
    for (const value of (plain as Map<unknown, unknown>).values())
      revive(value);
    return plain;
  };
