/** Credentials without encryption that tell which sockets are connected with them. */
import type {Socket} from 'node:net';
import {credentials, type ChannelCredentials} from '@grpc/grpc-js';

/**
 * A gRPC client that is closed while the peer has not answered the first bytes of a
 * connection leaves it open; whoever closes the client can close the socket too.
 */
export const trackedCredentials = (
  onSocket: (socket: Socket) => void,
): ChannelCredentials => {
  const tracked = credentials.createInsecure();
  const create = tracked._createSecureConnector.bind(tracked);
  tracked._createSecureConnector = (...args) => {
    const connector = create(...args);
    const connect = connector.connect.bind(connector);
    connector.connect = socket => {
      onSocket(socket);
      return connect(socket);
    };
    return connector;
  };
  return tracked;
};
