import {decode, encode} from '@msgpack/msgpack';
import type {LinkFrame} from './types.js';

/** Encodes a frame for the wire. */
export const encodeLinkFrame = (frame: LinkFrame): Buffer => {
  const bytes = encode(frame, {ignoreUndefined: true});
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
};

/** Decodes a frame from the wire. */
export const decodeLinkFrame = (bytes: Buffer): LinkFrame =>
  decode(bytes) as LinkFrame;
