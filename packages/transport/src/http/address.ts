/** Host and port of an address such as `10.0.0.1:7000` or `[::1]:7000`. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address that a schema has validated.
 * @param address - IP address and port.
 */
export const splitAddress = (address: string): HostPort => {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[(.*)\]$/, '$1');
  return {host, port: Number(address.slice(at + 1))};
};
