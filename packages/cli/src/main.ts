#!/usr/bin/env node
/** The operators' command line. */
import {defineCommand, runMain} from 'citty';
import {jobCommand} from './commands/job.js';
import {profileCommand} from './commands/profile.js';
import {serviceCommand} from './commands/service.js';
import {statusCommand} from './commands/status.js';

const main = defineCommand({
  meta: {
    name: 'primrosewick',
    version: '0.1.0',
    description: 'Operate a primrosewick cell.',
  },
  subCommands: {
    profile: profileCommand,
    service: serviceCommand,
    job: jobCommand,
    status: statusCommand,
  },
});

await runMain(main);
