#!/usr/bin/env node
/** The daemon's command line. */
import {readFileSync} from 'node:fs';
import bunyan from 'bunyan';
import {defineCommand, runMain} from 'citty';
import {
  SettingsError,
  defaultsText,
  parseSettings,
  type Settings,
} from '@primrosewick/protocol';
import {toCellError} from '@primrosewick/state';
import {Daemon} from './daemon.js';

/** Exit code for invalid settings. */
const EXIT_SETTINGS = 2;
/** Exit code for a failed start. */
const EXIT_START = 1;

const loadSettings = (file: string): Settings => {
  try {
    return parseSettings(readFileSync(file, 'utf8'), file);
  } catch (err) {
    const message =
      err instanceof SettingsError
        ? err.message
        : `${file}: ${err instanceof Error ? err.message : String(err)}`;
    process.stderr.write(`${message}\n`);
    process.exit(EXIT_SETTINGS);
  }
};

const serve = async (settings: Settings): Promise<void> => {
  const logger = bunyan.createLogger({
    name: 'primrosewickd',
    vm: settings.vm,
    level: settings.logLevel,
  });
  try {
    const daemon = new Daemon(settings, logger);
    const stop = (): void => {
      void daemon.stop().then(() => process.exit(0));
    };
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
    await daemon.start();
  } catch (err) {
    logger.fatal(
      {change: 'start_failed', err: toCellError(err, 'start').toBody()},
      'the daemon cannot start',
    );
    process.exit(EXIT_START);
  }
};

const command = defineCommand({
  meta: {
    name: 'primrosewickd',
    version: '0.1.0',
    description: 'Daemon of the primrosewick cluster scheduler.',
  },
  args: {
    settings: {
      type: 'string',
      description: 'Settings file, JSON with comments.',
      default: 'primrosewick.jsonc',
    },
    check: {
      type: 'boolean',
      description:
        'Check the settings and exit; code 2 when they cannot be used.',
    },
    'print-defaults': {
      type: 'boolean',
      description: 'Print the defaults with their meaning and exit.',
    },
  },
  async run({args}) {
    if (args['print-defaults'])
      return void process.stdout.write(defaultsText());
    const settings = loadSettings(args.settings);
    if (args.check)
      return void process.stdout.write(
        `${args.settings}: the settings are sound\n`,
      );
    await serve(settings);
  },
});

await runMain(command);
