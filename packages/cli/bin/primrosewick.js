#!/usr/bin/env node
// Installed by name before the build has made dist/.
import '../dist/main.js';
