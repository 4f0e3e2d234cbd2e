import type {ServiceDefinition} from '@grpc/grpc-js';
import {
  PEER_METHODS,
  decodeFrame,
  encodeFrame,
  type PeerFrame,
  type PeerMethod,
} from '@primrosewick/protocol';

const PACKAGE = 'primrosewick.v1.Peer';

/** Definition of the service between daemons, made from the method table. */
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

/** Path of a method on the wire. */
export function methodPath(method: PeerMethod): string {
  return `/${PACKAGE}/${method}`;
}

/** Frame whose body is not looked into here. */
export type AnyFrame = PeerFrame<unknown>;
