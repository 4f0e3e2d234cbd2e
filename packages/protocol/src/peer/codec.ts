import {decode, encode} from '@msgpack/msgpack';
import type {PeerFrame} from './types.js';

/** Encodes a frame for the wire. */
export const encodeFrame = <T>(frame: PeerFrame<T>): Buffer => {
  const bytes = encode(frame, {ignoreUndefined: true});
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
};

/** Decodes a frame from the wire. */
export const decodeFrame = <T>(bytes: Buffer): PeerFrame<T> =>
  decode(bytes) as PeerFrame<T>;
