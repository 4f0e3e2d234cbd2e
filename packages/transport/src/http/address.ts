/** Host and port of an address such as `10.0.0.1:7000` or `[::1]:7000`. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address; one without a port has an empty host and no port.
 * @param address - IP address and port.
 */
export const splitAddress = (address: string): HostPort => {
  const at = address.lastIndexOf(':');
  if (at < 0) return {host: '', port: Number.NaN};
  const host = address.slice(0, at).replace(/^\[(.*)\]$/, '$1');
  return {host, port: Number(address.slice(at + 1))};
};

const MAX_PORT = 65_535;

/** Whether a connection can be tried; port 0 would mean the default port. */
export const isCallable = ({host, port}: HostPort): boolean =>
  host !== '' && Number.isInteger(port) && port >= 1 && port <= MAX_PORT;
