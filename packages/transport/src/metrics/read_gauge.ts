/** Gauges whose value is read when the metrics are collected. */
import {Gauge, type Registry} from 'prom-client';

/** Options of {@link registerReadGauge}. */
export interface ReadGaugeOptions {
  readonly registry: Registry;
  readonly name: string;
  readonly help: string;
  /** Reads the value now. */
  readonly read: () => number;
}

/** Registers a gauge that is read at each collection. */
export const registerReadGauge = ({
  registry,
  name,
  help,
  read,
}: ReadGaugeOptions): void => {
  new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
};
