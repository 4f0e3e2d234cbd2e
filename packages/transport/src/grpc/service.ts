import type {ServiceDefinition} from '@grpc/grpc-js';
import {
  PEER_METHODS,
  decodeFrame,
  encodeFrame,
  type PeerFrame,
  type PeerMethod,
} from '@primrosewick/protocol';

const SERVICE_NAME = 'primrosewick.v1.Peer';

/** gRPC service between daemons, generated from the method table. */
export const PEER_SERVICE: ServiceDefinition = Object.fromEntries(
  Object.keys(PEER_METHODS).map(method => [
    method,
    {
      path: methodPath(method as PeerMethod),
      requestStream: false,
      responseStream: false,
      requestSerialize: encodeFrame,
      requestDeserialize: decodeFrame,
      responseSerialize: encodeFrame,
      responseDeserialize: decodeFrame,
    },
  ]),
);

/** gRPC path of a method. */
export function methodPath(method: PeerMethod): string {
  return `/${SERVICE_NAME}/${method}`;
}

/** Frame with an opaque body. */
export type AnyFrame = PeerFrame<unknown>;
