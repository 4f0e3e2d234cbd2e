#!/usr/bin/env node
/** Command line tool for operators. */
import {defineCommand, runMain} from 'citty';
import {
  quotaCommand,
  upstreamCommand,
  workerCommand,
} from './commands/capacity.js';
import {customerCommand} from './commands/customer.js';
import {explainCommand} from './commands/explain.js';
import {jobCommand} from './commands/job.js';
import {journalCommand, replayCommand} from './commands/journal.js';
import {memberCommand} from './commands/member.js';
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
    quota: quotaCommand,
    upstream: upstreamCommand,
    worker: workerCommand,
    member: memberCommand,
    customer: customerCommand,
    status: statusCommand,
    explain: explainCommand,
    journal: journalCommand,
    replay: replayCommand,
  },
});

await runMain(main);
