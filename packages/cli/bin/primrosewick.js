#!/usr/bin/env node
// npm links this file at install time, before the build creates dist/.
import '../dist/main.js';
