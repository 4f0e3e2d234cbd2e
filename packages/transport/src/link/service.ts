import type {MethodDefinition, ServiceDefinition} from '@grpc/grpc-js';
import {
  decodeLinkFrame,
  encodeLinkFrame,
  type LinkFrame,
} from '@primrosewick/protocol';

/** Path of the stream on the wire. */
export const LINK_PATH = '/primrosewick.v1.Link/open';

const LINK_METHOD: MethodDefinition<LinkFrame, LinkFrame> = {
  path: LINK_PATH,
  requestStream: true,
  responseStream: true,
  requestSerialize: encodeLinkFrame,
  requestDeserialize: decodeLinkFrame,
  responseSerialize: encodeLinkFrame,
  responseDeserialize: decodeLinkFrame,
};

/** Definition of the service: one stream that carries all calls of a VM. */
export const LINK_SERVICE: ServiceDefinition = {open: LINK_METHOD};
