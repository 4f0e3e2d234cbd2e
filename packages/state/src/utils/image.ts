/**
 * Images of decision cores: the whole state of a core as bytes, from which an
 * equal core is restored. Shared references within the state are preserved.
 */
import {deserialize, serialize} from 'node:v8';

/** Restores the classes of a plain object and of the objects in its fields. */
export type Reviver<T> = (plain: unknown) => T;

/** Serializes the state of a core. */
export const toImage = (core: object): Uint8Array => serialize(core);

/** Restores a core from its image. */
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
