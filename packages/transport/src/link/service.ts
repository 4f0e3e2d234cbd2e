import type {MethodDefinition, ServiceDefinition} from '@grpc/grpc-js';
import {
  decodeLinkFrame,
  encodeLinkFrame,
  type LinkFrame,
} from '@primrosewick/protocol';
import {workMeter} from '../event_loop/work_meter.js';

/** gRPC path of the stream. */
export const LINK_PATH = '/primrosewick.v1.Link/open';

/** Encodes a frame for the wire. */
export const encodeMeasured = (frame: LinkFrame): Buffer =>
  workMeter.measure('frame', () => encodeLinkFrame(frame));
const decodeMeasured = (bytes: Buffer): LinkFrame =>
  workMeter.measure('frame', () => decodeLinkFrame(bytes));

/** Replies are encoded before they are written, as one may exceed a frame. */
const LINK_METHOD: MethodDefinition<LinkFrame, Buffer> = {
  path: LINK_PATH,
  requestStream: true,
  responseStream: true,
  requestSerialize: encodeMeasured,
  requestDeserialize: decodeMeasured,
  responseSerialize: (bytes: Buffer) => bytes,
  responseDeserialize: bytes => bytes,
};

/** gRPC service with one bidirectional stream that carries all calls of a VM. */
export const LINK_SERVICE: ServiceDefinition = {open: LINK_METHOD};
